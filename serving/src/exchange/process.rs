//! Checks that the upstream that resumes a request is the process that the registry names.
//!
//! An upstream may restart under its id with another version. Until its new entry has been read,
//! requests for the old version are sent there.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};

use crate::{
    balance::Pick,
    upstream::{self, Failure, Options, Passthrough, Request},
};

use super::Context;

/// How long the upstream has to report. It runs beside the wait for the next event.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the upstream of `pick` when its process started, after the head of its response to a resumed
/// request and before any of its events counts. Upstreams whose entry or report doesn't state the time
/// pass. So do responses that came through another node, because this node doesn't reach the
/// upstream.
///
/// # Errors
///
/// Fails if the process started at another time than the one in the registry. Fails as well if it
/// doesn't report and the registry can't be read, or no longer names that time.
pub(crate) async fn check(
    context: &Context,
    pick: &Pick,
    parts: &http::response::Parts,
) -> upstream::Result<()> {
    let (true, None) = (pick.started > 0, upstream::forwarder(parts)) else { return Ok(()) };
    let Some(target) = context.codec.report_target() else { return Ok(()) };
    let request = Request {
        id: String::new(),
        method: Method::GET,
        target,
        host: pick.address.to_string(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        workspace: None,
    };
    let options = Options {
        upstream: &pick.upstream,
        deadline: Some(REPORT_TIMEOUT),
        resume_after: None,
        tenure: None,
    };
    let report = async {
        let pool = &context.pool;
        let answer =
            pool.send(&Passthrough, &request, options, pick.address, true, &|_| ()).await?;
        Ok((answer.parts.status, answer.body.collect().await?))
    };
    let report = tokio::time::timeout(REPORT_TIMEOUT, report).await;
    let report = report.unwrap_or_else(|_| Err(Failure::timed_out()));
    let (status, body) = match report {
        Ok(report) => report,
        // The report needs a connection of its own, which a faulty link may refuse although the
        // response arrives.
        Err(_) if is_registered(context, pick).await => return Ok(()),
        Err(failure) => return Err(failure),
    };
    let started = match status {
        StatusCode::OK => context.codec.read_started(&body),
        _ => None,
    };
    match started.filter(|started| *started != pick.started) {
        Some(started) => Err(Failure::restarted(pick.started, started)),
        None => Ok(()),
    }
}

/// Whether the registry, read after the response began, still names the process of `pick`.
async fn is_registered(context: &Context, pick: &Pick) -> bool {
    let read = context.origins.reads.wait(context.clock.boot_time());
    if tokio::time::timeout(REPORT_TIMEOUT, read).await.is_err() {
        return false;
    }
    let fleet = context.fleet();
    fleet.entries().get(&pick.upstream).is_some_and(|entry| entry.started == pick.started)
}
