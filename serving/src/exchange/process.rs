//! Checks that the upstream that resumes a request is the process that the registry names.
//!
//! An upstream may restart under its id with another version. Until its new entry has been read,
//! requests for the old version are sent there.

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};

use crate::{
    balance::Pick,
    id::Upstream,
    time::Millis,
    upstream::{self, Failure, Options, Passthrough, Request},
};

use super::Context;

/// How long the upstream has to report. It runs beside the wait for the next event.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a report, which lists the requests that an upstream runs.
const MAX_REPORT_BYTES: usize = 64 << 10;

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
        Ok((answer.parts.status, answer.body.collect_at_most(MAX_REPORT_BYTES).await?))
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

/// The process that brought the first event of a stream, as the registry named it then.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    pub(crate) upstream: Upstream,
    pub(crate) started: u64,
    /// When the event arrived, in Unix milliseconds.
    pub(crate) at: Millis,
}

/// Checks by a new read of the registry that the process of `origin` had not been replaced before its
/// first event, so that the version of the stream is the one that the registry named. One that has
/// restarted since, or is gone, passes; so does any if the registry can't be read.
///
/// # Errors
///
/// Fails if another process brought the event.
pub(crate) async fn check_origin(context: &Context, origin: &Origin) -> upstream::Result<()> {
    let read = context.origins.reads.wait(context.clock.boot_time());
    if origin.started == 0 || tokio::time::timeout(REPORT_TIMEOUT, read).await.is_err() {
        return Ok(());
    }
    let started = context.fleet().entries().get(&origin.upstream).map(|entry| entry.started);
    match started {
        Some(started) if started != origin.started && started <= origin.at.0 => {
            Err(Failure::unknown_origin(origin.started, started))
        }
        Some(_) | None => Ok(()),
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
