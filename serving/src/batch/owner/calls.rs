//! Calls that an owner answers.

use bytes::Bytes;
use tokio::{sync::oneshot, time::Instant};

use crate::{id::Job as JobId, time::Millis};

use super::{
    super::{
        ledger::{Ledger, Submission},
        record::Head,
    },
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
        let route = self.route(&head).filter(|_| self.releasing.is_none());
        let Some(route) = route else {
            let _ = reply.send(Err(Unavailable::NotAccepted));
            return;
        };
        let catalog = self.tools.catalog.current();
        let same_route = |other: &Head| {
            let found = catalog.as_ref().and_then(|catalog| catalog.find(&other.host, &other.path));
            found.is_some_and(|found| found.id == route.id)
        };
        let due = self.tools.context.clock.now() + route.results_due;
        let items = head.items.len();
        let bytes = self.tools.settings.record_bytes;
        let submission = self.ledger.submit(&id, head, due, route.token_quota, bytes, same_route);
        let (outcome, answer) = match submission {
            Submission::Write(records) => {
                self.submitters.entry(id.clone()).or_default().push(reply);
                self.write(records, Effect::Accepted(id.clone()));
                log::info!(job = id.0.as_str(), items = items, partition = self.partition.number, epoch = self.producer.epoch; "job is being written");
                return;
            }
            Submission::Pending => {
                self.submitters.entry(id).or_default().push(reply);
                return;
            }
            Submission::Known => ("known", Accepted::Durable),
            Submission::OverQuota => ("over quota", Accepted::OverQuota),
            Submission::Invalid(why) => ("invalid", Accepted::Invalid(why)),
        };
        log::info!(job = id.0.as_str(), items = items, quota = route.token_quota, outcome = outcome; "job submitted");
        let _ = reply.send(Ok(answer));
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
        let was_ended = self.ledger.job(&id).is_some_and(|job| job.ended);
        let Some(record) = self.ledger.end(&id) else {
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
    }

    fn body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = self.ledger.job(id).filter(|job| job.durable && !job.ended)?;
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
            .is_some_and(|job| !job.ended && job.listed < job.head.items.len());
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
fn page(ledger: &Ledger, id: &JobId, after: usize) -> Option<Page> {
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
