//! Runs one item at an upstream, resuming after the progress of earlier runs.

use std::{pin::pin, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::{
    balance::Outcome,
    exchange::{Context, Permit, events::Splitter, process, state::health_outcome},
    tenure::Tenure,
    time::Millis,
    uplink::{Sign, check_path},
    upstream::{self, Failure, FailureKind, Options, Request},
};

use super::{
    Settings,
    ledger::{ItemId, Progress, RunEnd},
    record::{Head, Item},
};

/// Minimum time between two updates of the progress of a run. The owner keeps updates in memory until
/// the log has taken them.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of headers of an item: as many as fit into a head of 16 KiB, of at least four bytes each.
const MAX_HEADERS: usize = 4_096;

/// How long to wait for an answer that may have arrived while the process stood still.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// A run that is about to start.
pub(super) struct Run {
    pub(super) context: Arc<Context>,
    pub(super) id: ItemId,
    pub(super) request: Request,
    pub(super) progress: Progress,
    pub(super) permit: Permit,
    /// Sends of the item end with the tenure of its owner; the run that has begun goes on.
    pub(super) tenure: Tenure,
    pub(super) settings: Settings,
    /// Pauses the run, to free its slot at the upstream.
    pub(super) pause: oneshot::Receiver<()>,
    /// Receives the progress of the run every `save_events` events, but not more often than every
    /// `MIN_SAVE_INTERVAL`.
    pub(super) progress_tx: mpsc::Sender<(ItemId, Progress)>,
}

/// The outcome of a run.
pub(super) struct FinishedRun {
    pub(super) id: ItemId,
    pub(super) end: RunEnd,
    /// Progress of the item, earlier runs included.
    pub(super) progress: Progress,
    /// Number of events of this run.
    pub(super) events: u64,
    /// Duration of this run.
    pub(super) span: Millis,
}

/// Builds the request of an item. Fails if its path or a header is not allowed in HTTP, or if it has
/// too many headers; such an item can never succeed.
pub(super) fn request(head: &Head, item: &Item) -> Result<Request, String> {
    // A map of headers panics when it is full, and headers of this node follow.
    if item.headers.len() > MAX_HEADERS {
        return Err(format!("{} headers are more than {MAX_HEADERS}", item.headers.len()));
    }
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name: HeaderName = name.parse().map_err(|error| format!("{name}: {error}"))?;
        let value: HeaderValue = value.parse().map_err(|error| format!("{name}: {error}"))?;
        headers.append(name, value);
    }
    Ok(Request {
        id: item.id.clone(),
        method: Method::POST,
        target: item.path.parse().map_err(|error| format!("{}: {error}", item.path))?,
        host: head.host.clone(),
        headers,
        body: item.body.clone().into(),
        workspace: head.workspace.clone(),
    })
}

impl Run {
    /// Runs the item until it ends or is paused.
    pub(super) async fn run(mut self) -> FinishedRun {
        let started_at = self.context.clock.now();
        // Output without numbered events can't be resumed.
        if self.progress.last_event.is_none() {
            self.progress = Progress { software: self.progress.software, ..Progress::default() };
        }
        let resume_after = self.progress.last_event;
        let events = self.progress.events;
        let mut pause = std::mem::replace(&mut self.pause, oneshot::channel().1);
        let result = tokio::select! {
            // An answer that has arrived counts although the run is paused.
            biased;
            result = self.exchange() => result,
            // The channel also closes if the owner is dropped, which drops the run as well.
            _ = &mut pause => Ok(RunEnd::Interrupted),
        };
        let (end, reason) = match result {
            Ok(end) => {
                match &end {
                    RunEnd::Complete => self.permit.outcome = Outcome::Succeeded,
                    RunEnd::Unstorable(_) => {
                        self.permit.outcome = Outcome::Failed;
                        // The next run must not resume after an output that can't be right.
                        self.progress = Progress::default();
                    }
                    RunEnd::Interrupted | RunEnd::Failed | RunEnd::Impossible => {}
                }
                (end, String::new())
            }
            Err(failure) => {
                self.context.count_failure(&self.permit.pick, &failure);
                let sign = match failure.kind {
                    FailureKind::TimedOut => Some(Sign::Silence),
                    FailureKind::Broken => Some(Sign::ConnectionBroke),
                    // The send itself reports these.
                    FailureKind::Connect
                    | FailureKind::NoPath
                    | FailureKind::Announced
                    | FailureKind::UnknownOrigin
                    | FailureKind::Leaving
                    | FailureKind::Lapsed
                    | FailureKind::Overloaded
                    | FailureKind::Misdirected => None,
                };
                if let Some(sign) = sign {
                    check_path(&self.context, &self.permit.pick, sign);
                }
                self.permit.outcome = health_outcome(&failure);
                (RunEnd::Interrupted, failure.message)
            }
        };
        let ms = self.context.clock.now() - started_at;
        log::info!(
            job = self.id.job.0.as_str(), item = self.request.id.as_str(),
            upstream = self.permit.pick.upstream.0.as_str(),
            version = self.permit.pick.version.0.as_str(), load = self.permit.pick.load,
            resumed_after:? = resume_after, events = self.progress.events, ms = ms.0, outcome:? = end,
            why = reason.as_str();
            "run of an item ended"
        );
        let events = self.progress.events.saturating_sub(events);
        FinishedRun { id: self.id, end, progress: self.progress, events, span: ms }
    }

    /// Sends the request and reads the response to its end. Fails if the upstream can't be reached,
    /// closes the connection early, sends no new event for `silence_ms`, or answers with a status
    /// other than 200, 422 and 500.
    async fn exchange(&mut self) -> Result<RunEnd, Failure> {
        let send = Options {
            upstream: &self.permit.pick.upstream,
            deadline: Some(Duration::from_millis(self.settings.run_ms)),
            resume_after: self.progress.last_event,
            tenure: Some(&self.tenure),
        };
        let max_silence = Duration::from_millis(self.settings.silence_ms);
        let context = Arc::clone(&self.context);
        let mut sending = pin!(context.send(&self.request, send, &self.permit.pick, true));
        let response = match tokio::time::timeout(max_silence, &mut sending).await {
            Ok(response) => response?,
            // Timers of a process that stood still fire before its connections are read.
            Err(_) => tokio::time::timeout(UNREAD_ANSWER_TIMEOUT, sending)
                .await
                .map_err(|_| Failure::timed_out())??,
        };
        if let Some(forwarder) = upstream::forwarder(&response.parts) {
            log::info!(item = self.request.id.as_str(), forwarder:% = forwarder; "item answered through another node");
        }
        match response.parts.status {
            StatusCode::OK => {}
            StatusCode::INTERNAL_SERVER_ERROR => return Ok(RunEnd::Failed),
            StatusCode::UNPROCESSABLE_ENTITY => return Ok(RunEnd::Impossible),
            status => return Err(Failure::broken(format!("the upstream answered {status}"))),
        }
        if send.resume_after.is_some_and(|event| event > 0) {
            process::check(&context, &self.permit.pick, &response.parts).await?;
        }
        let mut body = response.body;
        let mut splitter = Splitter::default();
        let mut has_events = false;
        // What follows a resume may be something else, such as the text of an error.
        let mut is_proven = send.resume_after.is_none_or(|event| event == 0);
        let mut saved = self.progress.events;
        let mut saved_at = Instant::now();
        let mut progressed_at = Instant::now();
        loop {
            let silence_deadline = progressed_at + max_silence;
            let next = tokio::time::timeout_at(silence_deadline, body.next_chunk())
                .await
                .map_err(|_| Failure::timed_out())??;
            let Some(bytes) = next else {
                if splitter.is_partial() {
                    return Err(Failure::broken("the stream ended within an event"));
                }
                if body.is_unframed && !has_events {
                    return Err(Failure::broken("the connection ended before an event"));
                }
                return Ok(RunEnd::Complete);
            };
            splitter.push(&bytes);
            let before = (self.progress.events, self.progress.last_event);
            for event in splitter.by_ref() {
                has_events = true;
                if !is_proven && event.id.is_none() && !event.is_comment() {
                    return Err(Failure::broken("an event of a resumed stream has no id"));
                }
                is_proven |= event.id.is_some();
                // Results are text, in the log and for callers.
                if std::str::from_utf8(&event.data()).is_err() {
                    return Ok(self.end_unstorable("an event isn't UTF-8"));
                }
                self.progress.apply(&event).map_err(Failure::broken)?;
            }
            if (self.progress.events, self.progress.last_event) != before {
                progressed_at = Instant::now();
            } else if Instant::now() >= silence_deadline {
                // The timeout doesn't apply while there is always a next chunk.
                return Err(Failure::timed_out());
            }
            if splitter.is_overlong() {
                return Err(Failure::broken("an event is too long"));
            }
            if self.progress.output.len() > self.settings.record_bytes {
                return Ok(self.end_unstorable("the output is too long"));
            }
            if self.progress.events >= saved + self.settings.save_events
                && saved_at.elapsed() >= MIN_SAVE_INTERVAL
            {
                saved = self.progress.events;
                saved_at = Instant::now();
                // Dropped if the owner's queue is full; the next update includes this one.
                let _ = self.progress_tx.try_send((self.id.clone(), self.progress.clone()));
            }
        }
    }
}

impl Run {
    /// How a run ends whose output no record can hold.
    fn end_unstorable(&self, reason: &str) -> RunEnd {
        let upstream = self.permit.pick.upstream.clone();
        log::warn!(job = self.id.job.0.as_str(), item = self.request.id.as_str(), upstream = upstream.0.as_str(), events = self.progress.events, why = reason; "the output of an item can't be stored");
        RunEnd::Unstorable(upstream)
    }
}

impl Progress {
    /// Appends the next event. An event that is already included is ignored.
    ///
    /// # Errors
    ///
    /// Fails if events are missing before this one.
    pub(super) fn apply(&mut self, event: &crate::exchange::events::Event) -> Result<(), String> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return Ok(());
            }
            if id != last + 1 {
                return Err(format!("expected event {}, received event {id}", last + 1));
            }
        }
        self.last_event = event.id.or(self.last_event);
        if event.has_data() {
            if self.events > 0 {
                self.output.push(b'\n');
            }
            self.output.extend_from_slice(&event.data());
            self.events += 1;
        }
        Ok(())
    }
}
