//! Calls that an owner answers.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{sync::oneshot, time::Instant};

use crate::{catalog::Route, id::Job as JobId, time::Millis};

use super::{
    super::{coordinator::Ask, ledger::Ledger, quota::Verdict, record::Head},
    Owner, Release,
    handle::{Accepted, Command, Found, Page, Unavailable},
    writes::Effect,
};

/// Bytes of output in one page of results at most.
const PAGE_BYTES: usize = 900 << 10;

pub(super) struct Reader {
    id: JobId,
    after: usize,
    pub(super) until: Instant,
    reply: oneshot::Sender<Found<Page>>,
}

/// A submitted job that waits for room in its route's quota.
pub(super) struct Reserving {
    head: Head,
    route: Arc<Route>,
    replies: Vec<oneshot::Sender<Result<Accepted, Unavailable>>>,
}

impl Owner {
    pub(super) fn command(&mut self, command: Command) {
        match command {
            Command::Submit { id, head, reply } => self.submit(id, head, reply),
            Command::Read { id, after, wait, reply } => {
                let until = Instant::now() + wait.duration();
                let reader = Reader { id, after, until, reply };
                if let Some(reader) = self.answer_reader(reader, Instant::now()) {
                    self.readers.push(reader);
                }
            }
            Command::Body { id, item, reply } => {
                // The caller may have left.
                let _ = reply.send(self.sure(self.body(&id, &item)));
            }
            Command::End { id, reply } => self.end(id, reply),
            Command::Reserve { ask, reply } => {
                let _ = reply.send(self.reserve(&ask));
            }
            Command::Release { reply } => {
                self.releasing = Some(Release { reply, saved: false });
                for running in self.running.values_mut() {
                    if let Some(pause) = running.pause.take() {
                        let _ = pause.send(());
                    }
                }
            }
        }
    }

    fn submit(
        &mut self,
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Accepted, Unavailable>>,
    ) {
        if let Some(known) = self.ledger.job(&id) {
            if known.durable {
                log::info!(job = id.0.as_str(), outcome = "known"; "job submitted");
                let _ = reply.send(Ok(Accepted::Durable));
            } else {
                self.submitters.entry(id).or_default().push(reply);
            }
            return;
        }
        if let Some(reserving) = self.reserving.get_mut(&id) {
            reserving.replies.push(reply);
            return;
        }
        let route = self.route(&head).filter(|_| self.releasing.is_none());
        let Some(route) = route else {
            let _ = reply.send(Err(Unavailable::NotAccepted));
            return;
        };
        let tokens = head.items.iter().map(|item| item.tokens).sum();
        let ask = Ask { job: id.clone(), route: route.id.clone(), tokens };
        self.reserving.insert(
            id.clone(),
            Reserving { head, route: Arc::clone(&route), replies: vec![reply] },
        );
        if route.token_quota == 0 {
            return self.reserved(id, Ok(Verdict::Granted));
        }
        let coordinator = self.tools.coordinator.clone();
        self.reservations.spawn(async move { (id, coordinator.reserve(ask).await) });
    }

    /// The coordinator of the quota has answered for a job.
    pub(super) fn reserved(&mut self, id: JobId, verdict: Result<Verdict, Unavailable>) {
        let Some(Reserving { head, route, replies }) = self.reserving.remove(&id) else { return };
        let answer = match verdict {
            Ok(Verdict::Granted) if self.releasing.is_none() => {
                self.accept(id, head, &route, replies);
                return;
            }
            Ok(Verdict::OverQuota) => Ok(Accepted::OverQuota),
            Ok(Verdict::Granted | Verdict::Unknown) | Err(_) => Err(Unavailable::NotAccepted),
        };
        log::info!(job = id.0.as_str(), quota = route.token_quota, verdict:? = verdict, outcome:? = answer; "job submitted");
        for reply in replies {
            let _ = reply.send(answer.clone());
        }
    }

    fn accept(
        &mut self,
        id: JobId,
        mut head: Head,
        route: &Route,
        replies: Vec<oneshot::Sender<Result<Accepted, Unavailable>>>,
    ) {
        head.config = self.tools.catalog.current().map_or(0, |catalog| catalog.version);
        let due = self.tools.context.clock.now() + route.results_due;
        let items = head.items.len();
        match self.ledger.submit(&id, head, due, self.tools.settings.record_bytes) {
            Ok(records) => {
                self.submitters.entry(id.clone()).or_default().extend(replies);
                log::info!(job = id.0.as_str(), items = items, partition = self.partition.number, epoch = self.producer.epoch; "job is being written");
                self.write(records, Effect::Accepted(id));
                self.schedule();
            }
            Err(error) => {
                log::error!(job = id.0.as_str(), error:% = error; "job can't be encoded");
                for reply in replies {
                    let _ = reply.send(Ok(Accepted::Invalid(error.to_string())));
                }
            }
        }
    }

    /// Grants room in a quota. Only a proven owner may: a later one grants room as well.
    fn reserve(&self, ask: &Ask) -> Result<Verdict, Unavailable> {
        let catalog = self.tools.catalog.current().ok_or(Unavailable::NotAccepted)?;
        let route = catalog.iter().find(|route| route.id == ask.route);
        let limit = route.ok_or(Unavailable::NotAccepted)?.token_quota;
        if !self.is_proven() {
            return Err(Unavailable::NotAccepted);
        }
        if limit == 0 {
            return Ok(Verdict::Granted);
        }
        let now = self.tools.context.clock.now();
        let mut quota = self.tools.coordinator.directory.quota();
        Ok(quota.reserve(now, &ask.job, &ask.route, ask.tokens, limit))
    }

    /// What isn't known here may be known to a later owner, unless there can't be one yet.
    fn sure<T>(&self, known: Option<T>) -> Found<T> {
        if known.is_none() && !self.is_proven() {
            return Err(Unavailable::NotAccepted);
        }
        Ok(known)
    }

    fn is_proven(&self) -> bool {
        let age = self.tools.context.clock.now() - self.verified.get();
        age <= Millis(self.tools.settings.proof_ms)
    }

    fn end(&mut self, id: JobId, reply: oneshot::Sender<Found<()>>) {
        let was_ended = self.ledger.job(&id).is_some_and(|job| job.cancelled);
        let Some(record) = self.ledger.cancel(&id) else {
            let _ = reply.send(self.sure(None));
            return;
        };
        log::info!(job = id.0.as_str(), again = was_ended; "job ended by its caller");
        for (item, running) in &mut self.running {
            if item.job == id
                && let Some(pause) = running.pause.take()
            {
                let _ = pause.send(());
            }
        }
        self.enders.entry(id.clone()).or_default().push(reply);
        self.write(vec![record], Effect::Ended(id));
        self.schedule();
    }

    fn body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = self.ledger.job(id).filter(|job| job.durable && !job.cancelled)?;
        let item = job.head.items.iter().find(|known| known.id == item)?;
        Some(Bytes::from(item.body.clone()))
    }

    pub(super) fn answer_readers(&mut self, now: Instant) {
        for reader in std::mem::take(&mut self.readers) {
            if let Some(reader) = self.answer_reader(reader, now) {
                self.readers.push(reader);
            }
        }
    }

    /// Answers a reader, or gives it back if it is to wait.
    fn answer_reader(&self, reader: Reader, now: Instant) -> Option<Reader> {
        let page = page(&self.ledger, &reader.id, reader.after);
        let has_more_to_come = self
            .ledger
            .job(&reader.id)
            .is_some_and(|job| !job.cancelled && job.listed < job.head.items.len());
        let is_empty = page.as_ref().is_some_and(|page| page.results.is_empty());
        if is_empty && has_more_to_come && reader.until > now {
            return Some(reader);
        }
        let answer = match is_empty && !self.is_proven() {
            true => Err(Unavailable::NotAccepted),
            false => self.sure(page),
        };
        let _ = reader.reply.send(answer);
        None
    }
}

/// The listed results of a job from `after` on.
pub(in crate::batch) fn page(ledger: &Ledger, id: &JobId, after: usize) -> Option<Page> {
    let job = ledger.job(id).filter(|job| job.durable)?;
    let listed = &job.results[..job.listed];
    let mut page = Page { total: job.head.items.len(), next: after, results: Vec::new() };
    let mut bytes = 0;
    for outcome in listed.iter().skip(after) {
        bytes += outcome.output.len();
        if !page.results.is_empty() && bytes > PAGE_BYTES {
            break;
        }
        let id = job.head.items[outcome.item as usize].id.clone();
        page.results.push((id, outcome.clone()));
    }
    page.next += page.results.len();
    Some(page)
}
