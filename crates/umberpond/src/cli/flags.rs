//! The grammar of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Distributes the configuration of a service mesh and carries its requests.
    ///
    /// Exit codes: 0 done, 1 refused (nothing changed), 2 faulty command line or settings, 3 not accepted (try
    /// again), 4 outcome unknown (ask with `umberpond submission ID`), 5 node unreachable, 6 accepted but not in
    /// force everywhere in time, 7 a node ended against plan or cut requests.
    cmd umberpond {
        /// Run a node beside a back end, or without one where callers enter. Flags win over the settings file.
        cmd node {
            /// Settings file; examples/node.toml explains every setting.
            optional --config file: PathBuf
            /// Name of the node.
            optional --name name: String
            /// Service of the back end, in whose name local callers call.
            optional --service name: String
            /// Region of the node.
            optional --region name: String
            /// Zone of the node.
            optional --zone name: String
            /// Listen here for requests of other nodes.
            optional --inbound address: String
            /// Listen here for requests of local callers.
            optional --outbound address: String
            /// Listen here for operators, metrics and probes.
            optional --admin address: String
            /// Listen here for datagrams and control connections of other nodes.
            optional --control address: String
            /// Listen here for announcements of the back end.
            optional --registration address: String
            /// Inbound address told to other nodes.
            optional --advertise-inbound address: String
            /// Control address told to other nodes.
            optional --advertise-control address: String
            /// Address of the back end.
            optional --back-end address: String
            /// Address of the store.
            optional --store address: String
            /// File with the service's private seal key.
            optional --seal-key-file file: String
            /// `text` or `json`.
            optional --log-format format: String
            /// `debug`, `info`, `warn` or `error`.
            optional --log-level level: String
            /// Time from the request to stop until the process is killed, such as 30s.
            optional --stop-grace duration: String
        }
        /// Submit the bundle in a directory under a name. Secrets are sealed here, before anything is sent.
        cmd apply {
            /// Name of the bundle.
            required name: String
            /// Directory with its TOML files.
            required dir: PathBuf
            /// Wait at most this long until it is in force everywhere, such as 10s.
            optional --wait duration: String
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Submit under this identifier again, to settle an unknown outcome.
            optional --submission id: String
            /// Print the result as JSON.
            optional --json
        }
        /// Withdraw a bundle that is in force.
        cmd withdraw {
            /// Name of the bundle.
            required name: String
            /// Wait at most this long until it is withdrawn everywhere, such as 10s.
            optional --wait duration: String
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Withdraw under this identifier again, to settle an unknown outcome.
            optional --submission id: String
            /// Print the result as JSON.
            optional --json
        }
        /// Tell the state of a node and, at a reader, the progress of versions in each zone.
        cmd status {
            /// Tell how far this version has come instead.
            optional --version number: u64
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Print the result as JSON.
            optional --json
        }
        /// Tell what became of a submission.
        cmd submission {
            /// Its identifier, as `apply` printed it.
            required id: String
            /// Give it up for good, unless it was accepted before.
            optional --abandon
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Print the result as JSON.
            optional --json
        }
        /// Check bundles without a node: each directory, and all of them together as the whole.
        cmd check {
            /// Directories of bundles; each one's last part is the bundle's name.
            repeated dirs: PathBuf
            /// Print the result as JSON.
            optional --json
        }
        /// Tell what applying a bundle would change, without changing it.
        cmd plan {
            /// Name of the bundle.
            required name: String
            /// Directory with its TOML files.
            required dir: PathBuf
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Print the result as JSON.
            optional --json
        }
        /// Gather the lines of one request from nodes' JSON logs, and say where it ended and why.
        cmd explain {
            /// Identity of the request, as its caller knows it.
            required request: String
            /// Log files, one a process.
            repeated files: PathBuf
            /// Print the result as JSON.
            optional --json
        }
        /// Make a service's key pair: the private key goes to a new file, the public one is printed.
        cmd keygen {
            /// File for the private key; must not exist.
            required file: PathBuf
            /// Print the result as JSON.
            optional --json
        }
    }
}
