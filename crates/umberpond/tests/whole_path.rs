//! The whole path with real processes: a bundle accepted and in force, requests through it, a planned stop, and no
//! secret in anything that people see.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use support::{NodeProcess, NodeSettings, directory, get, json, umberpond, umberpond_with, until_or};
use umberpond_model::Locality;
use umberpond_net::TcpNetwork;
use umberpond_standins::backend::{Backend, BackendSettings};
use umberpond_standins::platform::{Machine, Platform};

/// The clear value of the test's secret.
const CLEAR: &str = "correct-horse-battery-staple";

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn back_end(name: &str, zone: &str) -> Backend {
    let settings = BackendSettings {
        name: name.to_owned(),
        service: "web".parse().expect("a name"),
        locality: Locality { region: "north".parse().expect("a name"), zone: zone.parse().expect("a name") },
        slots: 10,
        service_time: Duration::from_millis(1),
        cold_start: Duration::ZERO,
        warm_up: Duration::ZERO,
    };
    Backend::start(&TcpNetwork, loopback(), settings).await.expect("the back end starts")
}

/// A platform, two nodes beside back ends and an edge.
struct Mesh {
    directory: PathBuf,
    platform: Platform,
    back_ends: Vec<Backend>,
    nodes: Vec<NodeProcess>,
    edge: NodeProcess,
}

impl Mesh {
    async fn start(test: &str) -> Self {
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
            let seeds: Vec<SocketAddr> = nodes.iter().map(|node| node.address("control")).collect();
            let settings = NodeSettings {
                name,
                service: "web",
                zone,
                back_end: Some(back_end.address()),
                platform: platform.address(),
                seeds: &seeds,
                seal_key_file: None,
            };
            nodes.push(NodeProcess::start(&directory, &settings).await);
            back_ends.push(back_end);
        }
        let seeds = [nodes[0].address("control"), nodes[1].address("control")];
        let settings = NodeSettings {
            name: "edge-a",
            service: "shop",
            zone: "a",
            back_end: None,
            platform: platform.address(),
            seeds: &seeds,
            seal_key_file: Some(&key),
        };
        let edge = NodeProcess::start(&directory, &settings).await;
        let machines = [("web-a", "a", &nodes[0]), ("web-b", "b", &nodes[1]), ("edge-a", "a", &edge)];
        platform.set_machines(machines.into_iter().map(machine).collect());
        Self { directory, platform, back_ends, nodes, edge }
    }

    fn admin(&self) -> String {
        self.nodes[0].address("admin").to_string()
    }

    async fn apply(&self) -> serde_json::Value {
        let bundle = self.directory.join("store");
        let arguments = ["apply", "store", path(&bundle), "--wait", "15s", "--node", &self.admin(), "--json"];
        let applied = umberpond_with(&arguments, &[("STORE_TOKEN", CLEAR)]).await;
        assert!(applied.status.success(), "{applied:?}\n{}", self.logs());
        json(&applied)
    }

    /// One request through the edge.
    async fn call(&self, path: &str) -> Option<http::Response<bytes::Bytes>> {
        get(self.edge.address("outbound"), "web", path).await
    }

    fn logs(&self) -> String {
        let nodes = self.nodes.iter().chain([&self.edge]);
        nodes.map(NodeProcess::log).collect::<Vec<_>>().join("\n----\n")
    }
}

fn machine((name, zone, node): (&str, &str, &NodeProcess)) -> Machine {
    Machine {
        node: name.parse().expect("a name"),
        region: "north".parse().expect("a name"),
        zone: zone.parse().expect("a name"),
        control: node.address("control"),
        leaving: false,
    }
}

fn path(path: &Path) -> &str {
    path.to_str().expect("the path is text")
}

fn write_bundle(directory: &Path, shop_key: &str) {
    let text = format!(
        "schema = 1\n[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\n\
         [[service]]\nname = \"web\"\nallowed = [{{ region = \"north\" }}]\nslots = 10\nconnections = 20\n\
         [[service]]\nname = \"shop\"\nallowed = [{{ region = \"north\" }}]\nslots = 1\nconnections = 1\n\
         seal_key = \"{shop_key}\"\n\
         [[secret]]\nname = \"token\"\nreaders = [\"shop\"]\nenvironment = \"STORE_TOKEN\"\n\
         [[route]]\nname = \"pages\"\nservice = \"web\"\ncallers = [\"shop\"]\npath_prefix = \"/work\"\n\
         class = \"status\"\nidempotent = true\ntimeout_millis = 5000\n\
         credentials = [{{ header = \"authorization\", secret = \"token\" }}]\n"
    );
    fs::create_dir_all(directory).expect("the bundle's directory can be made");
    fs::write(directory.join("store.toml"), text).expect("the bundle can be written");
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_applied_requests_pass_and_a_drain_cuts_nothing() {
    let mut mesh = Mesh::start("whole-path").await;
    let applied = mesh.apply().await;
    assert_eq!(applied["result"], "accepted");
    assert_eq!(applied["version"], 1);
    assert_eq!(applied["progress"]["everywhere"], true, "{applied}");

    for node in mesh.nodes.iter().chain([&mesh.edge]) {
        node.ready().await;
    }
    until_or(
        "both back ends answer through the edge",
        || async {
            let answer = mesh.call("/work/page?bytes=1000").await;
            answer.is_some_and(|answer| answer.status() == 200)
                && mesh.back_ends.iter().any(|back_end| !back_end.ledger().entries.is_empty())
        },
        || mesh.logs(),
    )
    .await;
    let answer = mesh.call("/work/page?bytes=1000").await.expect("an answer");
    assert_eq!(answer.headers()["umberpond-outcome"], "answered");
    assert_eq!(answer.headers()["umberpond-config-version"], "1");

    // A long request is in flight at the node that drains; it must end whole, and new ones go elsewhere.
    let long = mesh.call("/work/long?bytes=100000&stream_millis=1500");
    let drain = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        mesh.nodes[0].terminate();
        mesh.nodes[1].address("admin")
    };
    let (long, _) = tokio::join!(long, drain);
    let long = long.expect("the long answer is whole");
    assert_eq!(long.status(), 200);
    assert!(long.body().len() >= 100_000);
    let status = mesh.nodes[0].left().await;
    assert_eq!(status.code(), Some(0), "{}", mesh.nodes[0].log());
    assert!(mesh.nodes[0].has_logged("drain-finished"), "{}", mesh.nodes[0].log());
    for _ in 0..20 {
        let answer = mesh.call("/work/after").await.expect("an answer");
        assert_eq!(answer.status(), 200, "{answer:?}\n{}", mesh.logs());
        assert_eq!(answer.headers()["umberpond-served-by"], "web-b");
    }
    drop(mesh.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn secret_value_is_in_nothing_that_people_see() {
    let mesh = Mesh::start("secrets").await;
    mesh.apply().await;
    mesh.edge.ready().await;
    mesh.call("/work/page").await;

    let mut seen = mesh.logs();
    for node in mesh.nodes.iter().chain([&mesh.edge]) {
        for page in ["/v1/status", "/metrics", "/readyz", "/v1/versions/1", "/v1/seal-keys"] {
            seen.push_str(&String::from_utf8_lossy(node.admin(page).await.body()));
        }
        for page in ["/v1/recording", "/v1/configuration"] {
            seen.push_str(&String::from_utf8_lossy(node.admin(page).await.body()));
        }
    }
    let bundle = mesh.directory.join("store");
    let admin = mesh.admin();
    for arguments in [
        vec!["status", "--node", &admin],
        vec!["plan", "store", path(&bundle), "--node", &admin],
        vec!["apply", "shop", path(&bundle), "--node", &admin],
    ] {
        let output = umberpond_with(&arguments, &[("STORE_TOKEN", CLEAR)]).await;
        seen.push_str(&String::from_utf8_lossy(&output.stdout));
        seen.push_str(&String::from_utf8_lossy(&output.stderr));
    }
    assert!(seen.contains("token"), "the secret's name is told");
    assert!(!seen.contains(CLEAR), "the secret's value is told somewhere");
}
