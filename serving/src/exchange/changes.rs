//! Log lines for changes of what the node believes of parts of prompts and of rate limits, and of
//! where it sends requests.

use crate::{
    balance::{limit, locality},
    id::Process,
    parts,
};

/// Logs each block and its end, and the changes of the evidence on one line.
pub(super) fn log_parts(changes: &[parts::Change]) {
    let (mut suspected, mut disproved) = (Vec::new(), Vec::new());
    for change in changes {
        match change {
            parts::Change::Suspected { part, process, crashes } => {
                suspected.push(format!("{part} {crashes} ({process})"));
            }
            parts::Change::Disproved { part, crashes } => {
                disproved.push(format!("{part} {crashes}"));
            }
            parts::Change::Blocked { part, crashes, remaining } => {
                log::warn!(part:% = part, crashes = crashes, ms = remaining.0; "part of prompts blocked: upstreams crash under requests with it");
            }
            parts::Change::Unblocked { part, crashes } => {
                log::info!(part:% = part, crashes = crashes; "part of prompts no longer blocked");
            }
        }
    }
    if !suspected.is_empty() || !disproved.is_empty() {
        let (suspected, disproved) = (suspected.join(", "), disproved.join(", "));
        log::info!(suspected = suspected.as_str(), disproved = disproved.as_str(); "crashes per part of prompts changed");
    }
}

/// Logs a change of the rate limit of a process, and where this node learned of it.
pub(super) fn log_limit(process: Process, change: limit::Change, source: &str) {
    match change {
        limit::Change::Named(rate) => {
            log::info!(process:% = process, rate:% = rate, source = source; "upstream limits the rate of its requests");
        }
        limit::Change::Ended => {
            log::info!(process:% = process, source = source; "upstream no longer limits the rate of its requests");
        }
    }
}

/// Logs the services that start or stop to send requests to other data centres.
pub(super) fn log_locality(changes: &[locality::Change]) {
    for change in changes {
        match change {
            locality::Change::Started { service, fill, share } => {
                log::info!(service = service.0.as_str(), fill = fill, share = share; "sends a share of the requests to other data centres");
            }
            locality::Change::Stopped { service, fill, lasted } => {
                log::info!(service = service.0.as_str(), fill = fill, ms = lasted.0; "sends no share of the requests to other data centres any more");
            }
        }
    }
}
