//! `umberpond keygen`: generates a service's seal key pair.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use serde::Serialize;
use umberpond_config::{SealKey, SealKeyPair};

use super::output::Format;
use super::{Exit, flags};

/// File mode of private keys: accessible only to the owner.
const PRIVATE_FILE_MODE: u32 = 0o600;

/// Settings of `umberpond keygen`.
pub(super) struct KeygenSettings {
    file: PathBuf,
    format: Format,
}

impl From<flags::Keygen> for KeygenSettings {
    fn from(flags: flags::Keygen) -> Self {
        Self { file: flags.file, format: Format::from_flag(flags.json) }
    }
}

/// Output; never contains the private key.
#[derive(Debug, Serialize)]
struct KeygenOutput {
    seal_key: SealKey,
    private_key_file: PathBuf,
}

/// Writes the private key to a new file and prints the public one.
pub(super) fn run(settings: &KeygenSettings) -> Exit {
    let pair = SealKeyPair::generate(&mut rand::rng());
    if let Err(error) = write_private(&settings.file, &pair) {
        eprintln!("can't write `{}`: {error}", settings.file.display());
        return Exit::Usage;
    }
    let output = KeygenOutput { seal_key: pair.public(), private_key_file: settings.file.clone() };
    settings.format.print(&output, |output| format!("seal_key = \"{}\"", output.seal_key));
    Exit::Ok
}

fn write_private(file: &Path, pair: &SealKeyPair) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(PRIVATE_FILE_MODE).open(file)?;
    file.write_all(pair.private_text().expose())?;
    file.write_all(b"\n")
}
