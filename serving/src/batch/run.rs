//! Runs one item at an upstream, behind what earlier runs have left.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::{
    balance::Outcome,
    exchange::{Context, Permit, events::Splitter},
    time::Millis,
    upstream::{Failure, FailureKind, Request, Send},
};

use super::{
    Settings,
    ledger::{ItemId, Progress, RunEnd},
    record::Item,
};

/// A run that is about to start.
pub(super) struct Run {
    pub(super) context: Arc<Context>,
    pub(super) id: ItemId,
    pub(super) request: Request,
    pub(super) progress: Progress,
    pub(super) lease: Permit,
    pub(super) settings: Settings,
    /// Asks the run to make room.
    pub(super) pause: oneshot::Receiver<()>,
    /// Takes what the run has got so far, from time to time.
    pub(super) progressed: mpsc::Sender<(ItemId, Progress)>,
}

/// What a run has left.
pub(super) struct Finished {
    pub(super) id: ItemId,
    pub(super) end: RunEnd,
    pub(super) progress: Progress,
    /// Events of this run and how long it took.
    pub(super) events: u64,
    pub(super) span: Millis,
}

/// The request of an item. An item with a header that HTTP doesn't allow can never be done.
pub(super) fn request(host: &str, item: &Item) -> Result<Request, String> {
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
        host: host.to_string(),
        headers,
        body: item.body.clone().into(),
    })
}

impl Run {
    /// Runs the item until it ends or is asked to make room.
    pub(super) async fn run(mut self) -> Finished {
        let begun = self.context.clock.now();
        let first = self.progress.last_event;
        let events = self.progress.events;
        let mut pause = std::mem::replace(&mut self.pause, oneshot::channel().1);
        let result = tokio::select! {
            result = self.exchange() => result,
            // A closed channel means that the owner is gone, which drops the run as well.
            _ = &mut pause => Ok(RunEnd::Interrupted),
        };
        let (end, why) = match result {
            Ok(end) => {
                if end == RunEnd::Complete {
                    self.lease.outcome = Outcome::Succeeded;
                }
                (end, String::new())
            }
            Err(failure) => {
                self.lease.outcome = match failure.kind {
                    FailureKind::Full => Outcome::Full,
                    _ => Outcome::Failed,
                };
                (RunEnd::Interrupted, failure.message)
            }
        };
        let ms = self.context.clock.now() - begun;
        log::info!(
            job = self.id.job.0.as_str(), item = self.request.id.as_str(),
            upstream = self.lease.pick.upstream.0.as_str(), load = self.lease.pick.load,
            resumed_after:? = first, events = self.progress.events, ms = ms.0, outcome:? = end,
            why = why.as_str();
            "item ran"
        );
        let events = self.progress.events.saturating_sub(events);
        Finished { id: self.id, end, progress: self.progress, events, span: ms }
    }

    async fn exchange(&mut self) -> Result<RunEnd, Failure> {
        let send = Send {
            upstream: &self.lease.pick.upstream,
            deadline: Some(Duration::from_millis(self.settings.run_ms)),
            resume_after: self.progress.last_event,
        };
        let silence = Duration::from_millis(self.settings.silence_ms);
        let context = Arc::clone(&self.context);
        let sending = context.pool.send(
            context.codec.as_ref(),
            &self.request,
            send,
            self.lease.pick.address,
            true,
        );
        let answer =
            tokio::time::timeout(silence, sending).await.map_err(|_| Failure::silent())??;
        match answer.parts.status {
            StatusCode::OK => {}
            StatusCode::INTERNAL_SERVER_ERROR => return Ok(RunEnd::Failed),
            StatusCode::UNPROCESSABLE_ENTITY => return Ok(RunEnd::Impossible),
            status => return Err(Failure::broken(format!("the upstream answered {status}"))),
        }
        let mut body = answer.body;
        let mut splitter = Splitter::default();
        let mut saved = self.progress.events;
        loop {
            let next = tokio::time::timeout(silence, body.next())
                .await
                .map_err(|_| Failure::silent())??;
            let Some(bytes) = next else {
                return match splitter.is_partial() {
                    true => Err(Failure::broken("the stream ended within an event".to_string())),
                    false => Ok(RunEnd::Complete),
                };
            };
            splitter.push(&bytes);
            for event in splitter.by_ref() {
                self.progress.take(&event).map_err(Failure::broken)?;
            }
            if self.progress.events >= saved + self.settings.save_events {
                saved = self.progress.events;
                // An owner with much to do skips this one; the next one holds more.
                let _ = self.progressed.try_send((self.id.clone(), self.progress.clone()));
            }
        }
    }
}

impl Progress {
    /// Takes in the next event; one that was taken in before is passed over.
    pub(super) fn take(&mut self, event: &crate::exchange::events::Event) -> Result<(), String> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return Ok(());
            }
            if id != last + 1 {
                return Err(format!("event {} was expected and {id} came", last + 1));
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
