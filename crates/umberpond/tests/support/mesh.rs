//! A small mesh: a platform, two nodes with back ends in two zones, and an edge node.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use umberpond_model::Locality;
use umberpond_net::TcpNetwork;
use umberpond_standins::backend::{Backend, BackendSettings};
use umberpond_standins::platform::Platform;

use super::{NodeProcess, NodeSettings, directory, get, json, umberpond, umberpond_with};

/// Plaintext value of the test's secret.
pub const PLAINTEXT: &str = "correct-horse-battery-staple";

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn back_end(name: &str, zone: &str) -> Backend {
    let settings = BackendSettings {
        name: name.to_owned(),
        instance: None,
        service: "web".parse().expect("a name"),
        locality: Locality { region: "north".parse().expect("a name"), zone: zone.parse().expect("a name") },
        slots: 10,
        service_time: Duration::from_millis(1),
        cold_start: Duration::ZERO,
        warm_up: Duration::ZERO,
    };
    Backend::start(&TcpNetwork, loopback(), settings).await.expect("the back end starts")
}

/// A platform, two nodes with back ends and an edge node.
pub struct Mesh {
    pub directory: PathBuf,
    pub platform: Platform,
    pub back_ends: Vec<Backend>,
    pub nodes: Vec<NodeProcess>,
    pub edge: NodeProcess,
}

impl Mesh {
    /// Starts all processes; no configuration is active yet.
    pub async fn start(test: &str) -> Self {
        let directory = directory(test);
        let key = directory.join("shop.key");
        let made = umberpond(&["keygen", path(&key), "--json"]).await;
        assert!(made.status.success(), "{made:?}");
        let public = json(&made)["seal_key"].as_str().expect("a key").to_owned();
        write_bundle(&directory.join("store"), &public);

        let platform = Platform::start(&TcpNetwork, loopback()).await.expect("the platform starts");
        let mut back_ends = Vec::new();
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for (name, zone) in [("web-a", "a"), ("web-b", "b")] {
            let back_end = back_end(name, zone).await;
            let settings = NodeSettings {
                name,
                service: "web",
                zone,
                back_end: Some(back_end.address()),
                platform: platform.address(),
                seal_key_file: None,
            };
            nodes.push(NodeProcess::start(&directory, &settings).await);
            back_ends.push(back_end);
        }
        let settings = NodeSettings {
            name: "edge-a",
            service: "shop",
            zone: "a",
            back_end: None,
            platform: platform.address(),
            seal_key_file: Some(&key),
        };
        let edge = NodeProcess::start(&directory, &settings).await;
        Self { directory, platform, back_ends, nodes, edge }
    }

    /// Admin address of the first node.
    pub fn admin(&self) -> String {
        self.nodes[0].address("admin").to_string()
    }

    /// Applies the test's bundle and waits until it is active on all nodes.
    pub async fn apply(&self) -> serde_json::Value {
        let bundle = self.directory.join("store");
        let arguments = ["apply", "store", path(&bundle), "--wait", "15s", "--node", &self.admin(), "--json"];
        let applied = umberpond_with(&arguments, &[("STORE_TOKEN", PLAINTEXT)]).await;
        assert!(applied.status.success(), "{applied:?}\n{}", self.logs());
        json(&applied)
    }

    /// Sends one request through the edge node.
    pub async fn call(&self, path: &str) -> Option<http::Response<bytes::Bytes>> {
        get(self.edge.address("outbound"), "web", path).await
    }

    /// Logs of all nodes.
    pub fn logs(&self) -> String {
        let nodes = self.nodes.iter().chain([&self.edge]);
        nodes.map(NodeProcess::log).collect::<Vec<_>>().join("\n----\n")
    }
}

/// Returns a path as a string.
pub fn path(path: &Path) -> &str {
    path.to_str().expect("the path is text")
}

fn write_bundle(directory: &Path, shop_key: &str) {
    let text = format!(
        "schema = 1\n[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\n\
         [[service]]\nname = \"web\"\nallowed = [{{ region = \"north\" }}]\nslots = 10\nconnections = 20\n\
         [[service]]\nname = \"shop\"\nallowed = [{{ region = \"north\" }}]\nslots = 1\nconnections = 1\n\
         seal_key = \"{shop_key}\"\n\
         [[secret]]\nname = \"token\"\nreaders = [\"shop\"]\nenvironment = \"STORE_TOKEN\"\n\
         [[route]]\nname = \"pages\"\nservice = \"web\"\ncallers = [\"shop\"]\npath_prefix = \"/job\"\n\
         class = \"status\"\nidempotent = true\ntimeout_millis = 5000\n\
         credentials = [{{ header = \"authorization\", secret = \"token\" }}]\n"
    );
    fs::create_dir_all(directory).expect("the bundle's directory can be made");
    fs::write(directory.join("store.toml"), text).expect("the bundle can be written");
}
