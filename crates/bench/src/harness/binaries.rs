//! Finds the binaries of this workspace.

use std::path::Path;
use std::path::PathBuf;

use crate::harness::error::HarnessError;

/// Folder of the binaries of the same build: that of the running executable, or the one above it
/// when that is a test in `deps`.
pub fn folder() -> Result<PathBuf, HarnessError> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}

/// Path of a binary of the same build.
pub fn find(name: &str) -> Result<PathBuf, HarnessError> {
    find_in(&folder()?, name)
}

/// Path of a binary in a folder.
pub fn find_in(folder: &Path, name: &str) -> Result<PathBuf, HarnessError> {
    let path = folder.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(HarnessError::MissingBinary { path })
    }
}
