//! Wrong settings are refused with the path of the key and what would be valid.

use bulrushspread::settings::Settings;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "vm": "entry-1",
        "data_centre": "ljubljana-a",
        "environment": "production",
        "platform": { "log": "10.0.0.2:80", "vm_list": "10.0.0.3:80" },
        "gateway": { "listen": "0.0.0.0:8080" },
        "operator": { "listen": "10.0.0.1:8081", "token_digests": ["ab".repeat(32)] },
        "peer": {
            "listen": "10.0.0.1:8082",
            "certificate": "node.pem",
            "key": "node.key",
            "authorities": "ca.pem"
        }
    })
}

/// Sets `pointer` of the valid settings to `value` and returns what the check says.
fn refusal(pointer: &str, value: Value) -> String {
    let mut settings = valid();
    let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer");
    settings.pointer_mut(parent).expect("the parent exists")[key] = value;
    Settings::parse(&settings.to_string()).expect_err("the settings are wrong").to_string()
}

#[test]
fn accepts_a_minimal_file() {
    Settings::parse(&valid().to_string()).expect("the settings are valid");
}

#[test]
fn names_the_key_and_what_would_be_valid() {
    let cases = [
        ("/surprise", json!(1)),
        ("/gateway/lisen", json!("0.0.0.0:8080")),
        ("/gateway/listen", json!("localhost")),
        ("/gateway/body_bytes", json!(0)),
        ("/gateway/deadline_ms", json!("fast")),
        ("/operator/listen", json!("0.0.0.0:8080")),
        ("/operator/token_digests", json!([])),
        ("/operator/token_digests", json!(["secret"])),
        ("/peer/listen", json!("0.0.0.0:8082")),
        ("/peer/timeout_ms", json!(0)),
        ("/platform/log", json!("0.0.0.0:0")),
        ("/telemetry", json!({ "log": "loud=very" })),
        ("/telemetry", json!({ "otlp": "collector" })),
        ("/vm", json!("entry 1")),
        ("/batch", json!({ "retention_ms": 90_000_000 })),
    ];
    let lines: Vec<String> = cases
        .into_iter()
        .map(|(pointer, value)| {
            format!("{pointer} = {value}\n  {}", refusal(pointer, value.clone()))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn reports_every_problem_at_once() {
    let mut settings = valid();
    settings["vm"] = json!("");
    settings["gateway"]["body_bytes"] = json!(0);
    let error = Settings::parse(&settings.to_string()).expect_err("the settings are wrong");
    assert_eq!(error.problems.len(), 2);
}

#[test]
fn every_setting_stands_in_the_docs_with_its_default() {
    let page = include_str!("../../docs/SETTINGS.md");
    let missing: Vec<String> =
        Settings::table().lines().filter(|row| !page.contains(row)).map(str::to_string).collect();
    assert!(missing.is_empty(), "run `bulrushspread schema --table`:\n{}", missing.join("\n"));
}
