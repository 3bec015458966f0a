//! Log lines for changes of what the node believes of parts of prompts and of rate limits.

use crate::{balance::limit, id::Process, parts};

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
