//! Guards against a committed OpenAPI document that differs from the code.

use std::path::Path;

use magnoliahatch_daemon::admin::api;

/// With `UPDATE_OPENAPI=1` in the environment, the test first rewrites the committed document.
#[test]
fn committed_document_equals_the_code() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let document = serde_json::to_string_pretty(&api::document().unwrap()).unwrap() + "\n";
    assert!(document.contains("\"/status\""));
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(&file, &document).unwrap();
    }
    let committed = std::fs::read_to_string(&file).unwrap_or_default();
    assert!(
        committed == document,
        "docs/openapi.json differs from the code; run this test with UPDATE_OPENAPI=1"
    );
}
