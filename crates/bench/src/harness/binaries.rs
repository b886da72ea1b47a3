//! Finds the binaries of this workspace.

use std::path::PathBuf;

use crate::harness::error::HarnessError;

/// Path of a binary of the same build: beside the running executable, or one folder above it
/// when that is a test in `deps`.
pub fn find(name: &str) -> Result<PathBuf, HarnessError> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(HarnessError::MissingBinary { path })
    }
}
