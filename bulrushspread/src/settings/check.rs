//! Checks of values that parse but can't work, alone or together.

use std::net::SocketAddr;

use crate::problem::{DIGEST_DIGITS, Problem, is_digest};

use super::Settings;

/// Finds every problem of settings that parsed.
pub(super) fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_names(settings, &mut problems);
    check_platform(settings, &mut problems);
    check_listeners(settings, &mut problems);
    check_peer(settings, &mut problems);
    check_tokens(settings, &mut problems);
    check_retention(settings, &mut problems);
    check_telemetry(settings, &mut problems);
    problems
}

fn check_names(settings: &Settings, problems: &mut Vec<Problem>) {
    let names = [
        ("vm", &settings.vm.0),
        ("data_centre", &settings.data_centre.0),
        ("environment", &settings.environment.0),
    ];
    for (path, name) in names {
        let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || !name.chars().all(plain) {
            let message = format!("{name:?} is not a name; use letters, digits, '-', '_' and '.'");
            push(problems, path, message);
        }
    }
}

fn check_platform(settings: &Settings, problems: &mut Vec<Problem>) {
    let platform = &settings.platform;
    check_target("platform.log", platform.log, problems);
    check_target("platform.vm_list", platform.vm_list, problems);
    if let Some(address) = platform.weight_store {
        check_target("platform.weight_store", address, problems);
    }
}

fn check_listeners(settings: &Settings, problems: &mut Vec<Problem>) {
    let (gateway, operator) = (&settings.gateway, &settings.operator);
    if gateway.listen == operator.listen && gateway.listen.port() != 0 {
        let message = format!(
            "{} is also gateway.listen; callers and operators need one each",
            gateway.listen
        );
        push(problems, "operator.listen", message);
    }
    if gateway.body_bytes == 0 {
        push(problems, "gateway.body_bytes", "is 0; use the bytes of the largest request body");
    }
    if gateway.deadline_ms == 0 {
        push(problems, "gateway.deadline_ms", "is 0; use the milliseconds that a request may take");
    }
}

fn check_peer(settings: &Settings, problems: &mut Vec<Problem>) {
    let peer = &settings.peer;
    if peer.timeout_ms == 0 {
        push(
            problems,
            "peer.timeout_ms",
            "is 0; use the milliseconds that a node may take to answer",
        );
    }
    match peer.advertise {
        Some(address) => check_target("peer.advertise", address, problems),
        None if peer.listen.ip().is_unspecified() => {
            let message = format!(
                "is missing; peer.listen {} is no address that other nodes can reach",
                peer.listen
            );
            push(problems, "peer.advertise", message);
        }
        None => {}
    }
}

fn check_tokens(settings: &Settings, problems: &mut Vec<Problem>) {
    let digests = &settings.operator.token_digests;
    if digests.is_empty() {
        push(problems, "operator.token_digests", "is empty; give at least one SHA-256 digest");
    }
    for (index, digest) in digests.iter().enumerate() {
        if !is_digest(digest) {
            let message = format!("is not a SHA-256 digest of {DIGEST_DIGITS} hexadecimal digits");
            push(problems, &format!("operator.token_digests[{index}]"), message);
        }
    }
}

fn check_retention(settings: &Settings, problems: &mut Vec<Problem>) {
    let log = settings.journal.retention_ms;
    let results = settings.batch.retention_ms;
    if results >= log {
        let message = format!("{results} is not below journal.retention_ms, which is {log}");
        push(problems, "batch.retention_ms", message);
    }
}

fn check_telemetry(settings: &Settings, problems: &mut Vec<Problem>) {
    let telemetry = &settings.telemetry;
    if let Err(error) = env_filter::Builder::new().try_parse(&telemetry.log) {
        push(problems, "telemetry.log", format!("{error}; use for example \"info\""));
    }
    let Some(otlp) = &telemetry.otlp else { return };
    let uri = otlp.parse::<http::Uri>();
    if !uri.is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.host().is_some()) {
        let message = format!("{otlp:?} is no URL; use for example \"http://10.0.0.9:4318\"");
        push(problems, "telemetry.otlp", message);
    }
}

/// Refuses an address that nothing can be sent to.
fn check_target(path: &str, address: SocketAddr, problems: &mut Vec<Problem>) {
    if address.port() == 0 || address.ip().is_unspecified() {
        push(problems, path, format!("{address} can't be reached; use an IP address and a port"));
    }
}

fn push(problems: &mut Vec<Problem>, path: &str, message: impl Into<String>) {
    problems.push(Problem { path: path.to_string(), message: message.into() });
}
