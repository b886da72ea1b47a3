//! Guards against log events without a row in docs/events.md, and rows without a log event.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("folder of the workspace") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

fn numbers_in_code(root: &Path) -> BTreeSet<u32> {
    let mut files = Vec::new();
    for name in ["core", "client", "daemon", "ctl", "bench", "gateway"] {
        collect_sources(&root.join("crates").join(name).join("src"), &mut files);
    }
    collect_sources(&root.join("platform/src"), &mut files);
    let mut numbers = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("source file");
        for part in text.split("event = ").skip(1) {
            let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
            if let Ok(number) = digits.parse() {
                numbers.insert(number);
            }
        }
    }
    numbers
}

fn numbers_in_catalogue(root: &Path) -> BTreeSet<u32> {
    let text = fs::read_to_string(root.join("docs/events.md")).expect("docs/events.md");
    let rows = text.lines().filter_map(|line| line.strip_prefix("| "));
    let numbers: Vec<u32> = rows
        .filter_map(|row| row.split(" |").next()?.trim().parse().ok())
        .collect();
    let unique: BTreeSet<u32> = numbers.iter().copied().collect();
    assert_eq!(
        unique.len(),
        numbers.len(),
        "a number has two rows in docs/events.md"
    );
    unique
}

#[test]
fn catalogue_and_code_name_the_same_events() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    assert_eq!(
        numbers_in_code(&root),
        numbers_in_catalogue(&root),
        "left: code, right: catalogue"
    );
}
