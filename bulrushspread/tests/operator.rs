//! The operators' listener is described by a committed document.

use std::{fs, path::Path};

#[test]
fn the_committed_openapi_document_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/openapi-operator.json");
    let committed = fs::read_to_string(path).expect("the document is committed");
    let current = bulrushspread::operator::openapi().expect("the endpoints have a description");
    let command = "cargo run -p bulrushspread --example openapi_operator";
    assert!(committed == current, "write docs/openapi-operator.json again: {command}");
}
