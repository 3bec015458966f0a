//! Handles the commands that an owner receives.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    catalog::{Kind, Route},
    id::{Job as JobId, Workspace},
    time::Millis,
};

use super::{
    super::{
        coordinator::Reservation,
        ledger::Ledger,
        quota::{self, Decision},
        record::{Head, Limits},
    },
    Owner, Release,
    handle::{Admission, Command, Lookup, Page, Unavailable},
    writes::Effect,
};

/// Maximum bytes of output in one page of results. A larger result has a page of its own.
const PAGE_BYTES: usize = 900 << 10;

/// A read of results that waits for the first result or its deadline.
pub(super) struct PendingRead {
    id: JobId,
    after: usize,
    pub(super) deadline: Instant,
    reply: oneshot::Sender<Lookup<Page>>,
}

/// A submitted job that waits for the decision on its quota reservation.
pub(super) struct Submission {
    head: Head,
    route: Arc<Route>,
    replies: Vec<oneshot::Sender<Result<Admission, Unavailable>>>,
}

impl Owner {
    pub(super) fn handle_command(&mut self, command: Command) {
        match command {
            Command::Submit { id, head, reply } => self.submit(id, head, reply),
            Command::Read { id, after, wait, reply } => {
                let deadline = Instant::now() + wait.duration();
                let read = PendingRead { id, after, deadline, reply };
                if let Some(read) = self.answer_read(read, Instant::now()) {
                    self.pending_reads.push(read);
                }
            }
            Command::Body { id, item, reply } => {
                // Sending fails if the caller no longer waits for the reply.
                let _ = reply.send(self.confirm_absence(self.item_body(&id, &item)));
            }
            Command::Cancel { id, reply } => self.cancel(id, reply),
            Command::Reserve { reservation, reply } => {
                let _ = reply.send(self.reserve(&reservation));
            }
            // The owner's loop looks for a missing proof after every event.
            Command::Prove => {}
            Command::Release { reply } => {
                self.releasing = Some(Release { reply, progress_queued: false });
                for running in self.running.values_mut() {
                    if let Some(pause) = running.pause.take() {
                        let _ = pause.send(());
                    }
                }
            }
        }
    }

    /// Reserves quota for a new job, or answers from the state of a known one.
    fn submit(
        &mut self,
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Admission, Unavailable>>,
    ) {
        if let Some(known) = self.ledger.job(&id) {
            if known.durable {
                log::info!(job = id.0.as_str(), outcome = "known"; "job submitted");
                let _ = reply.send(Ok(Admission::Durable));
            } else {
                self.submit_replies.entry(id).or_default().push(reply);
            }
            return;
        }
        if let Some(submission) = self.submitted.get_mut(&id) {
            submission.replies.push(reply);
            return;
        }
        // The route of the submission, which no route of another kind below it may hide.
        let catalog = self.dependencies.catalog.current();
        let route = catalog.as_ref().and_then(|catalog| catalog.find(&head.host, &head.path));
        let route = route.filter(|route| route.kind == Kind::Batch && self.releasing.is_none());
        let Some(route) = route.cloned() else {
            let _ = reply.send(Err(Unavailable::NotAccepted));
            return;
        };
        let bytes = head.memory_bytes();
        let submitted = self.submitted.values().map(|submission| submission.head.memory_bytes());
        self.memory.set(self.ledger.memory_bytes() + submitted.sum::<usize>());
        // The records take up as much again until they are written.
        if !self.memory.has_room(2 * bytes) {
            let metrics = &self.dependencies.context.metrics;
            metrics.count(&metrics.intake, "jobs", "refused");
            log::info!(job = id.0.as_str(), bytes = bytes, max_bytes = self.dependencies.settings.memory_bytes, outcome = "no memory"; "job submitted");
            let _ = reply.send(Err(Unavailable::NotAccepted));
            return;
        }
        let tokens = head.tokens();
        let workspace = head.workspace.clone();
        let reservation = Reservation { job: id.clone(), route: route.id.clone(), tokens };
        self.submitted.insert(
            id.clone(),
            Submission { head, route: Arc::clone(&route), replies: vec![reply] },
        );
        if route.token_quota == 0 {
            return self.handle_reservation(id, Ok(Decision::Granted));
        }
        if let Some(workspace) = workspace {
            let decision = self.decide_quota(&workspace, &route, tokens);
            return self.handle_reservation(id, Ok(decision));
        }
        let coordinator = self.dependencies.coordinator.clone();
        self.reservations.spawn(async move { (id, coordinator.reserve(reservation).await) });
    }

    /// Decides whether a workspace has room for the tokens of another job in its quota of a route.
    /// All its jobs are in this partition, and the log refuses jobs of an owner that has lost it.
    fn decide_quota(&self, workspace: &Workspace, route: &Route, tokens: u64) -> Decision {
        let is_on_route = |head: &Head| self.find_route(head).is_some_and(|on| on.id == route.id);
        let waiting = self.ledger.waiting_tokens(Some(workspace), is_on_route);
        match waiting.saturating_add(tokens) > route.token_quota {
            true => Decision::OverQuota,
            false => Decision::Granted,
        }
    }

    /// Whether the partition has room for the tokens of another job in its share of a route's quota.
    fn fits_share(&self, route: &Route, tokens: u64) -> bool {
        let settings = &self.dependencies.settings;
        let share = quota::share(route.token_quota, settings.quota_over, settings.partitions);
        let is_on_route = |head: &Head| self.find_route(head).is_some_and(|on| on.id == route.id);
        self.ledger.waiting_tokens(None, is_on_route).saturating_add(tokens) <= share
    }

    /// Accepts or refuses a job after the coordinator's decision on its reservation.
    pub(super) fn handle_reservation(
        &mut self,
        id: JobId,
        decision: Result<Decision, Unavailable>,
    ) {
        let Some(Submission { head, route, replies }) = self.submitted.remove(&id) else { return };
        let decision = match decision {
            Ok(Decision::Unknown) | Err(_) if self.fits_share(&route, head.tokens()) => {
                log::info!(job = id.0.as_str(), quota = route.token_quota, verdict:? = decision; "accepting a job within the share of its partition: the coordinator of the quota can't decide");
                Ok(Decision::Granted)
            }
            decision => decision,
        };
        let answer = match decision {
            Ok(Decision::Granted) if self.releasing.is_none() => {
                self.accept(id, head, &route, replies);
                return;
            }
            Ok(Decision::OverQuota) => Ok(Admission::OverQuota),
            Ok(Decision::Granted | Decision::Unknown) | Err(_) => Err(Unavailable::NotAccepted),
        };
        log::info!(job = id.0.as_str(), quota = route.token_quota, verdict:? = decision, outcome:? = answer; "job submitted");
        for reply in replies {
            let _ = reply.send(answer.clone());
        }
    }

    /// Adds a job to the ledger and writes its records.
    fn accept(
        &mut self,
        id: JobId,
        mut head: Head,
        route: &Route,
        replies: Vec<oneshot::Sender<Result<Admission, Unavailable>>>,
    ) {
        head.route = Some(route.key());
        head.config = self.dependencies.catalog.current().map_or(0, |catalog| catalog.version);
        let due = self.dependencies.context.clock.now() + route.results_due;
        let items = head.items.len();
        let settings = &self.dependencies.settings;
        let limits =
            Limits { record_bytes: settings.record_bytes, append_bytes: settings.append_bytes };
        match self.ledger.submit(&id, head, due, limits) {
            Ok(appends) => {
                self.submit_replies.entry(id.clone()).or_default().extend(replies);
                log::info!(job = id.0.as_str(), items = items, partition = self.partition.number, epoch = self.producer.epoch; "writing a job to the log");
                self.queue_submission(id, appends);
                self.schedule();
            }
            Err(error) => {
                log::error!(job = id.0.as_str(), error:% = error; "could not encode the head of a job");
                for reply in replies {
                    let _ = reply.send(Ok(Admission::Invalid(error.to_string())));
                }
            }
        }
    }

    /// Decides on a reservation in a quota. Requires a recent assignment of the partition: two owners
    /// that grant reservations at the same time would exceed the quota. The ledger isn't asked, so that
    /// it doesn't matter who held the partition before.
    fn reserve(&mut self, reservation: &Reservation) -> Result<Decision, Unavailable> {
        let catalog = self.dependencies.catalog.current().ok_or(Unavailable::NotAccepted)?;
        let route = catalog.iter().find(|route| route.id == reservation.route);
        let limit = route.ok_or(Unavailable::NotAccepted)?.token_quota;
        if self.tenure.assignment_age() > Millis(self.dependencies.settings.proof_ms) {
            return Err(Unavailable::NotAccepted);
        }
        if limit == 0 {
            return Ok(Decision::Granted);
        }
        let now = self.dependencies.context.clock.now();
        let directory = &self.dependencies.coordinator.directory;
        directory.confirm_own_reports(now);
        let Reservation { job, route, tokens } = reservation;
        let mut quota = directory.quota();
        let decision = quota.reserve(now, self.claimed_at, job, route, *tokens, limit);
        let unreported = quota.unreported();
        drop(quota);
        if unreported != self.unreported {
            log::warn!(route = route.0.as_str(), partitions:? = unreported; "partitions whose reports the coordinator of a quota lacks");
            self.unreported = unreported;
        }
        Ok(decision)
    }

    /// Refuses to answer `None` without a recent confirmation of ownership, because a later owner
    /// may have what this one lacks.
    fn confirm_absence<T>(&self, known: Option<T>) -> Lookup<T> {
        if known.is_none() && !self.is_ownership_verified() {
            return Err(Unavailable::NotAccepted);
        }
        Ok(known)
    }

    /// Whether the log confirmed the ownership within the last `proof_ms`: too recently for a
    /// later owner to have jobs or results that callers must find here.
    fn is_ownership_verified(&self) -> bool {
        self.tenure.age() <= Millis(self.dependencies.settings.proof_ms)
    }

    /// Cancels a job, pauses its runs and writes the cancellation.
    fn cancel(&mut self, id: JobId, reply: oneshot::Sender<Lookup<()>>) {
        let was_cancelled = self.ledger.job(&id).is_some_and(|job| job.cancelled);
        let Some(record) = self.ledger.cancel(&id) else {
            let _ = reply.send(self.confirm_absence(None));
            return;
        };
        log::info!(job = id.0.as_str(), again = was_cancelled; "job cancelled by its caller");
        for (item, running) in &mut self.running {
            if item.job == id
                && let Some(pause) = running.pause.take()
            {
                let _ = pause.send(());
            }
        }
        self.cancel_replies.entry(id.clone()).or_default().push(reply);
        self.queue_write(vec![record], Effect::Cancelled(id));
        self.schedule();
    }

    fn item_body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = self.ledger.job(id).filter(|job| job.durable && !job.cancelled)?;
        let item = job.head.items.iter().find(|known| known.id == item)?;
        Some(Bytes::from(item.body.clone()))
    }

    pub(super) fn answer_reads(&mut self, now: Instant) {
        for read in std::mem::take(&mut self.pending_reads) {
            if let Some(read) = self.answer_read(read, now) {
                self.pending_reads.push(read);
            }
        }
    }

    /// Answers a read, or returns it if it has to wait.
    fn answer_read(&self, read: PendingRead, now: Instant) -> Option<PendingRead> {
        let page = read_page(&self.ledger, &read.id, read.after);
        let has_more_to_come = self
            .ledger
            .job(&read.id)
            .is_some_and(|job| !job.cancelled && job.listed < job.head.items.len());
        let is_empty = page.as_ref().is_some_and(|page| page.results.is_empty());
        if is_empty && has_more_to_come && read.deadline > now {
            return Some(read);
        }
        let answer = match is_empty && !self.is_ownership_verified() {
            true => Err(Unavailable::NotAccepted),
            false => self.confirm_absence(page),
        };
        let _ = read.reply.send(answer);
        None
    }
}

/// Returns the listed results of a job from position `after` on, at least one if there is any.
/// `None` if there is no such job.
pub(in crate::batch) fn read_page(ledger: &Ledger, id: &JobId, after: usize) -> Option<Page> {
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
