//! Tests of reading bundles from disk: all faults are in one report, no text contains a secret, and no file
//! outside the directory is read.

mod support;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use miette::GraphicalReportHandler;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use support::{in_force, name};
use umberpond_config::{
    Bundle, BundleSource, CheckReport, Fault, FaultKind, MAX_FILE_BYTES, SealKeyPair, SecretValue, join,
};

/// Plaintext that no report may contain.
const PLAINTEXT: &str = "hunter2-in-clear";

const REGION: &str = "schema = 1\n[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\n";
const SERVICE: &str =
    "[[service]]\nname = \"web\"\nallowed = [{ region = \"north\" }]\nslots = 1\nconnections = 1\n";

/// Creates a new directory with the given files.
fn directory(test: &str, files: &[(&str, &[u8])]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("source").join(test);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("creates");
    for (file, content) in files {
        fs::write(path.join(file), content).expect("writes");
    }
    path
}

fn load(test: &str, text: &str) -> Result<BundleSource, CheckReport> {
    BundleSource::load_whole(&directory(test, &[("all.toml", text.as_bytes())]))
}

fn faults(test: &str, text: &str) -> Vec<Fault> {
    load(test, text).expect_err("has faults").faults
}

fn rendered(report: &CheckReport) -> String {
    let mut text = format!("{report} {report:?} {}\n", serde_json::to_string(report).expect("serializes"));
    GraphicalReportHandler::new().render_report(&mut text, report).expect("renders");
    text
}

#[test]
fn all_faults_are_in_one_report() {
    let services = "schema = 1
[[region]]
name = 'north'
zones = ['a']
[[service]]
name = 'web'
allowed = [{ region = 'north', zone = 'z' }]
slots = 0
connections = 'many'
colour = 'red'
[[service]]
name = 'Bad_Name'
allowed = [{ region = 'north' }]
slots = 1
connections = 1
[[service]]
name = 'web'
allowed = [{ region = 'north' }]
slots = 1
connections = 1
";
    let routes = format!(
        "schema = 1
[[route]]
name = 'pages'
service = 'ghost'
callers = ['web']
path_prefix = 'pages'
class = 'status'
timeout_millis = 10
credentials = [{{ header = 'host', secret = 'token' }}]
[[secret]]
name = 'token'
readers = ['web']
file = '../outside'
[[secret]]
name = 'pasted'
readers = ['web']
value = '{PLAINTEXT}'
"
    );
    let path = directory("ten", &[("a.toml", services.as_bytes()), ("b.toml", routes.as_bytes())]);
    let report = BundleSource::load_whole(&path).expect_err("has faults");
    let found: Vec<(String, String)> = report
        .faults
        .iter()
        .map(|fault| {
            (fault.origin.to_string(), serde_json::to_value(&fault.kind).expect("json")["fault"].to_string())
        })
        .collect();
    let expected = [
        ("a.toml:7", "unknown-zone"),
        ("a.toml:8", "out-of-range"),
        ("a.toml:9", "wrong-type"),
        ("a.toml:10", "unknown-key"),
        ("a.toml:12", "bad-name"),
        ("a.toml:17", "duplicate-name"),
        ("b.toml:4", "unknown-service"),
        ("b.toml:6", "bad-prefix"),
        ("b.toml:9", "forbidden-header"),
        ("b.toml:12", "reader-without-seal-key"),
        ("b.toml:13", "value-outside-directory"),
        ("b.toml:16", "reader-without-seal-key"),
        ("b.toml:17", "inline-value"),
    ];
    let expected: Vec<(String, String)> =
        expected.iter().map(|(origin, kind)| ((*origin).to_owned(), format!("\"{kind}\""))).collect();
    assert_eq!(found, expected);

    let json = serde_json::to_string(&report).expect("serializes");
    assert_eq!(serde_json::from_str::<CheckReport>(&json).expect("reads back"), report);
    let text = rendered(&report);
    assert!(!text.contains(PLAINTEXT), "{text}");
    for part in ["a.toml:8", "must be from 1 to", "choose a number in the range"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn a_report_on_a_malformed_file_never_contains_a_secret() {
    let secret = "schema = 1\n[[secret]]\nname = 'token'\nreaders = ['web']\n";
    let endings = [
        format!("value = '{PLAINTEXT}'\n"),
        format!("password = '{PLAINTEXT}'\n"),
        format!("value = '{PLAINTEXT}\n"),
        format!("value = {PLAINTEXT}\n"),
        format!("file = ['{PLAINTEXT}']\n"),
        format!("file = {{ inline = '{PLAINTEXT}' }}\n"),
        format!("environment = '{PLAINTEXT}'\n"),
        format!("value = '{PLAINTEXT}'\nvalue = '{PLAINTEXT}'\n"),
        format!("'{PLAINTEXT}\n"),
    ];
    for (index, ending) in endings.iter().enumerate() {
        let report = load(&format!("broken-{index}"), &format!("{secret}{ending}")).expect_err("has faults");
        let text = rendered(&report);
        assert!(!text.contains(PLAINTEXT), "ending {index}: {text}");
    }
}

#[test]
fn syntax_faults_never_hide_each_other_or_faults_elsewhere() {
    let text =
        format!("{REGION}broken = \n[[service]]\nname = \"web\"\nslots = = 3\n[[route]]\nname = \"Bad\"\n");
    let faults = faults("syntax", &text);
    let lines: Vec<u32> = faults
        .iter()
        .filter(|fault| matches!(fault.kind, FaultKind::Syntax { .. }))
        .map(|fault| fault.origin.line)
        .collect();
    assert!(lines.contains(&5) && lines.contains(&8), "{faults:?}");
    assert!(faults.iter().any(|fault| matches!(fault.kind, FaultKind::BadName { .. })), "{faults:?}");
}

#[test]
fn only_load_accepts_references_to_other_bundles() {
    let path = directory("part", &[("all.toml", format!("schema = 1\n{SERVICE}").as_bytes())]);
    assert!(BundleSource::load(&path).is_ok());
    let report = BundleSource::load_whole(&path).expect_err("north is unknown");
    assert!(matches!(report.faults[..], [Fault { kind: FaultKind::UnknownRegion { .. }, .. }]));
}

#[test]
fn unusable_files_and_directories_are_reported() {
    let kind = |path: &Path| BundleSource::load(path).expect_err("unusable").faults.remove(0).kind;
    assert!(matches!(kind(Path::new("no/such/place")), FaultKind::Unreadable { .. }));
    assert_eq!(kind(&directory("empty", &[("notes.txt", b"")])), FaultKind::NoFiles);
    assert_eq!(kind(&directory("latin", &[("a.toml", b"# \xe9\n")])), FaultKind::NotUtf8);

    let large = vec![b'#'; usize::try_from(MAX_FILE_BYTES).expect("fits") + 1];
    let oversize = kind(&directory("oversize", &[("a.toml", &large)]));
    assert_eq!(oversize, FaultKind::OversizeFile { limit: MAX_FILE_BYTES });

    let folder = directory("folder", &[]);
    fs::create_dir(folder.join("a.toml")).expect("creates");
    assert_eq!(kind(&folder), FaultKind::OutsideDirectory);
}

#[cfg(unix)]
#[test]
fn links_that_leave_the_directory_are_not_followed() {
    let outside = directory("outside", &[("a.toml", REGION.as_bytes()), ("value", PLAINTEXT.as_bytes())]);
    let secret = "schema = 1\n[[secret]]\nname = 'token'\nreaders = ['web']\nfile = 'value'\n";
    let path = directory("links", &[("b.toml", secret.as_bytes())]);
    for file in ["a.toml", "value"] {
        std::os::unix::fs::symlink(outside.join(file), path.join(file)).expect("links");
    }
    let report = BundleSource::load(&path).expect_err("leads outside");
    let kinds: Vec<&FaultKind> = report.faults.iter().map(|fault| &fault.kind).collect();
    assert_eq!(kinds, [&FaultKind::OutsideDirectory, &FaultKind::ValueOutsideDirectory]);
}

#[test]
fn values_that_are_invalid_in_a_header_are_rejected() {
    let text = format!(
        "{REGION}{SERVICE}seal_key = \"{}\"\n[[secret]]\nname = \"token\"\nreaders = [\"web\"]\nfile = \"value\"\n",
        "ab".repeat(32)
    );
    for (index, value) in
        [&b""[..], b"\n", b"two\nlines", b"nul\0", b" padded", &[b'x'; 9_000]].iter().enumerate()
    {
        let files = [("all.toml", text.as_bytes()), ("value", value)];
        let report =
            BundleSource::load_whole(&directory(&format!("value-{index}"), &files)).expect_err("unfit");
        assert!(
            matches!(report.faults[..], [Fault { kind: FaultKind::UnfitValue { .. }, .. }]),
            "{report:?}"
        );
    }
    let files = [("all.toml", text.as_bytes()), ("value", b"fit\r\n")];
    assert!(BundleSource::load_whole(&directory("value-fit", &files)).is_ok());
}

quickcheck! {
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let path = directory("arbitrary", &[("a.toml", &bytes)]);
        BundleSource::load_whole(&path).map_or_else(|report| !report.faults.is_empty(), |_| true)
    }

    fn a_bundle_with_bytes_replaced_never_panics(changes: Vec<(usize, u8)>) -> bool {
        let mut text = format!("{REGION}{SERVICE}").into_bytes();
        for (position, byte) in changes {
            let position = position % text.len();
            text[position] = byte;
        }
        let path = directory("replaced", &[("a.toml", &text)]);
        BundleSource::load_whole(&path).map_or_else(|report| !report.faults.is_empty(), |_| true)
    }
}

fn example(directory: &str) -> BundleSource {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(directory);
    BundleSource::load_whole(&path).unwrap_or_else(|report| panic!("{}", rendered(&report)))
}

#[test]
fn the_examples_load_seal_and_join_together() {
    let environment = |variable: &str| {
        assert_eq!(variable, "CARRIER_TOKEN");
        Some(SecretValue::new(PLAINTEXT.into()))
    };
    let seal = |source: BundleSource| {
        let rng = &mut ChaCha20Rng::seed_from_u64(1);
        source.seal(&BTreeMap::new(), environment, rng).expect("seals")
    };
    let bundles =
        in_force(vec![("gridwell", seal(example("gridwell"))), ("tasmania", seal(example("tasmania")))]);
    let snapshot = join(&bundles).unwrap_or_else(|report| panic!("{}", rendered(&report)));
    snapshot.check_closed_for(&umberpond_config::Scope::Full).expect("closed");
    assert_eq!((snapshot.services.len(), snapshot.routes.len(), snapshot.secrets.len()), (8, 13, 2));
    assert!(!snapshot.routes["activations"].idempotent);
    let json = serde_json::to_string(&*bundles["gridwell"]).expect("serializes");
    assert_eq!(serde_json::from_str::<Bundle>(&json).expect("reads back"), *bundles["gridwell"]);
    let bytes = String::from_utf8_lossy(&bundles["tasmania"].to_bytes()).into_owned();
    assert!(!bytes.contains(PLAINTEXT), "the clear value is in the bundle's bytes");
}

#[test]
fn a_missing_reader_key_or_variable_is_reported() {
    let text = "schema = 1\n[[secret]]\nname = 'token'\nreaders = ['desk']\nenvironment = 'TOKEN'\n";
    let path = directory("foreign", &[("a.toml", text.as_bytes())]);
    let source = BundleSource::load(&path).expect("a part");
    assert_eq!(source.foreign_readers(), [name("desk")].into());

    let rng = &mut ChaCha20Rng::seed_from_u64(1);
    let value = |_: &str| Some(SecretValue::new(PLAINTEXT.into()));
    let report = source.seal(&BTreeMap::new(), value, rng).expect_err("no key");
    assert!(matches!(report.faults[0].kind, FaultKind::ReaderWithoutSealKey { .. }));

    let pair = SealKeyPair::generate(rng);
    let keys = [(name("desk"), pair.public())].into();
    let report = source.seal(&keys, |_| None, rng).expect_err("no variable");
    assert!(matches!(report.faults[0].kind, FaultKind::UnreadableValue { .. }));

    let bundle = source.seal(&keys, value, rng).expect("seals");
    let sealed = &bundle.secrets["token"].value.readers["desk"];
    assert_eq!(pair.open(&name("token"), sealed).expect("opens").expose(), PLAINTEXT.as_bytes());
}

#[test]
fn the_examples_in_the_documentation_match_the_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/BUNDLES.md")).expect("reads");
    for example in ["gridwell", "tasmania"] {
        for file in ["localities.toml", "services.toml", "routes.toml", "secrets.toml"] {
            let text = fs::read_to_string(root.join("examples").join(example).join(file)).expect("reads");
            assert!(page.contains(&text), "{example}/{file} differs from docs/BUNDLES.md");
        }
    }
}
