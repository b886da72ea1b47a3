//! Guards against settings errors that do not say where the error is.

use std::path::Path;

use magnoliahatch_client::settings;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    inner: Inner,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Inner {
    count: u32,
}

fn parse_error(text: &str) -> String {
    settings::parse::<Sample>(Path::new("a.json"), text)
        .expect_err("invalid settings are rejected")
        .to_string()
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let sample: Sample = settings::parse(
        Path::new("a.json"),
        "{ // c\n \"inner\": {\"count\": 3,}, }",
    )
    .unwrap();
    assert_eq!(sample.inner.count, 3);
}

#[test]
fn unknown_field_names_file_line_and_allowed_fields() {
    let message = parse_error("{\n \"inner\": {\"count\": 3,\n \"cuont\": 4}}");
    assert!(
        message.starts_with("a.json:3: field `inner.cuont`"),
        "{message}"
    );
    assert!(message.contains("expected `count`"), "{message}");
}

#[test]
fn wrong_type_names_the_value_and_the_expected_type() {
    let message = parse_error("{\n \"inner\": {\n \"count\": \"x\"}}");
    assert!(
        message.starts_with("a.json:3: field `inner.count`"),
        "{message}"
    );
    assert!(
        message.contains("string \"x\"") && message.contains("u32"),
        "{message}"
    );
}

#[test]
fn syntax_error_names_the_line() {
    assert!(parse_error("{\n \"inner\": [}").starts_with("a.json:2: "));
}
