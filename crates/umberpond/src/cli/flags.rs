//! Command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Distributes the configuration of a service mesh and carries its requests.
    ///
    /// Exit codes: 0 done, 1 refused (nothing changed), 2 invalid command line or settings, 3 not accepted
    /// (retry), 4 outcome unknown (query it with `umberpond submission ID`), 5 node unreachable, 6 accepted
    /// but not active on all nodes in time, 7 a node stopped unexpectedly or aborted requests.
    cmd umberpond {
        /// Run a node beside a back end, or without one as an entry point for callers. Flags override the
        /// settings file.
        cmd node {
            /// Settings file; examples/node.toml explains every setting.
            optional --config file: PathBuf
            /// Name of the node.
            optional --name name: String
            /// Service of the back end, as which local callers send requests.
            optional --service name: String
            /// Region of the node.
            optional --region name: String
            /// Zone of the node.
            optional --zone name: String
            /// Listen address for requests of other nodes.
            optional --inbound address: String
            /// Listen address for requests of local callers.
            optional --outbound address: String
            /// Listen address for operators, metrics and probes.
            optional --admin address: String
            /// Listen address for datagrams and control connections of other nodes.
            optional --control address: String
            /// Listen address for announcements of the back end.
            optional --registration address: String
            /// Inbound address advertised to other nodes.
            optional --advertise-inbound address: String
            /// Control address advertised to other nodes.
            optional --advertise-control address: String
            /// Address of the back end.
            optional --back-end address: String
            /// Address of the store.
            optional --store address: String
            /// File with the service's private seal key.
            optional --seal-key-file file: String
            /// Log format: `text` or `json`.
            optional --log-format format: String
            /// Least severity to log: `debug`, `info`, `warn` or `error`.
            optional --log-level level: String
            /// Time from the stop signal until the process is killed, such as 30s.
            optional --stop-grace duration: String
        }
        /// Submit the bundle in a directory under a name. Secrets are sealed here, before anything is sent.
        cmd apply {
            /// Name of the bundle.
            required name: String
            /// Directory with its TOML files.
            required dir: PathBuf
            /// Wait at most this long until it is active on all nodes, such as 10s.
            optional --wait duration: String
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Submit again under this identifier, to resolve an unknown outcome.
            optional --submission id: String
            /// Print the result as JSON.
            optional --json
        }
        /// Withdraw an accepted bundle.
        cmd withdraw {
            /// Name of the bundle.
            required name: String
            /// Wait at most this long until it is withdrawn on all nodes, such as 10s.
            optional --wait duration: String
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Withdraw again under this identifier, to resolve an unknown outcome.
            optional --submission id: String
            /// Print the result as JSON.
            optional --json
        }
        /// Show the state of a node.
        cmd status {
            /// Show the activation progress of this version instead.
            optional --version number: u64
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Print the result as JSON.
            optional --json
        }
        /// Show the outcome of a submission.
        cmd submission {
            /// Identifier of the submission, as printed by `apply`.
            required id: String
            /// Abandon it permanently, unless it was accepted before.
            optional --abandon
            /// Admin address of a node.
            optional --node address: SocketAddr
            /// Print the result as JSON.
            optional --json
        }
        /// Check bundles without a node: each directory, and all of them combined.
        cmd check {
            /// Directories of bundles; each one's last part is the bundle's name.
            repeated dirs: PathBuf
            /// Print the result as JSON.
            optional --json
        }
        /// Show what applying a bundle would change, without applying it.
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
        /// Collect the lines of one request from nodes' JSON logs, and show where it ended and why.
        cmd explain {
            /// Identifier of the request, as known to its caller.
            required request: String
            /// Log files, one per process.
            repeated files: PathBuf
            /// Print the result as JSON.
            optional --json
        }
        /// Generate a service's key pair: write the private key to a new file and print the public one.
        cmd keygen {
            /// File for the private key; must not exist.
            required file: PathBuf
            /// Print the result as JSON.
            optional --json
        }
    }
}
