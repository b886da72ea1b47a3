//! Guards against an `explain` command that mixes requests, omits lines of a host, or stops at an
//! incomplete line, such as a killed process leaves at the end of its log.

use std::fs;
use std::process::Command;
use std::process::Output;

use tempfile::TempDir;

const HOME_LOG: &str = r#"{"timestamp":"2026-09-16T02:22:18.704719Z","level":"INFO","message":"statement failed","event":632,"id":"d40e","member":"m1","code":"Unknown","cause":"Connection"}
{"timestamp":"2026-09-16T02:22:18.800000Z","level":"INFO","message":"statement ran","event":631,"id":"d40e7"}
{"timestamp":"2026-09-16T02:2"#;
const FRONT_LOG: &str = r#"{"timestamp":"2026-09-16T02:22:18.714279Z","level":"INFO","message":"statement failed","event":661,"id":"d40e","database":"main","code":"Unknown","waited":818}
{"timestamp":"2026-09-16T02:22:18.100000Z","level":"INFO","message":"tried elsewhere","event":643,"id":"d40e","host":"h2"}
"#;

fn explain(directory: &TempDir, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magnoliahatch"))
        .current_dir(directory.path())
        .arg("explain")
        .args(arguments)
        .output()
        .expect("the command starts")
}

fn write_logs() -> TempDir {
    let directory = TempDir::new().expect("a temporary directory");
    for (name, text) in [("home.log", HOME_LOG), ("front.log", FRONT_LOG)] {
        fs::write(directory.path().join(name), text).expect("the log is written");
    }
    directory
}

#[test]
fn lines_of_one_request_are_shown_in_order_over_all_hosts() {
    let output = explain(&write_logs(), &["d40e", "home.log", "front.log"]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("UTF-8 output");
    let events: Vec<&str> = text
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    assert_eq!(events, ["643", "632", "661"], "{text}");
    assert!(text.contains("member=m1"), "{text}");
}

#[test]
fn log_that_cannot_be_read_is_named() {
    let output = explain(&write_logs(), &["d40e", "missing.log"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("UTF-8 output");
    assert!(text.contains("missing.log"), "{text}");
}
