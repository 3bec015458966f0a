//! The running batch: admission in order of arrival and one token a step for each sequence.

use std::{collections::VecDeque, io, process, time::Duration};

use bulrushspread::upstream::{Event, Generate};
use tokio::sync::mpsc;

use super::{Settings, cache::Cache, counts::Counts, text};

/// Exit code after a `<crash>` marker.
const CRASH_CODE: i32 = 13;

pub(crate) type Events = mpsc::UnboundedSender<io::Result<Event>>;

/// How long a generation goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    /// The index after the last token, and the reason for the end.
    Bounded(u32, &'static str),
    Endless,
}

/// One generation in the queue or in the batch.
pub(crate) struct Sequence {
    id: String,
    name: String,
    prompt: String,
    /// The index of the next token.
    next: u32,
    length: Length,
    break_at: Option<u32>,
    /// Tokens delivered by another engine, which need a prefill here.
    resumed_tokens: u32,
    /// Number of prompt tokens that are not prefilled yet.
    prefill: u32,
    events: Events,
}

impl Sequence {
    pub(crate) fn new(generate: Generate, resumed_tokens: u32, events: Events) -> Sequence {
        let prompt = generate.prompt;
        let break_at: Option<u32> = text::value(&prompt, "break").and_then(|n| n.parse().ok());
        Sequence {
            name: text::name(&prompt),
            next: generate.from,
            length: length(&prompt, generate.max_tokens),
            break_at: break_at.filter(|index| *index > generate.from),
            id: generate.id,
            resumed_tokens,
            prefill: 0,
            prompt,
            events,
        }
    }

    /// Sends the next token. False where the sequence is over.
    fn step(&mut self, counts: &mut Counts) -> bool {
        if self.break_at == Some(self.next) {
            let _ = self.events.send(Err(io::ErrorKind::ConnectionAborted.into()));
            return false;
        }
        let finish = self.finish();
        let event = Event {
            index: self.next,
            text: text::token(&self.name, self.next),
            finish: finish.map(str::to_string),
        };
        self.next += 1;
        counts.tokens += 1;
        counts.change(&self.id, &self.name, |run| run.tokens += 1);
        let delivered = self.events.send(Ok(event)).is_ok();
        if finish.is_some() {
            counts.change(&self.id, &self.name, |run| run.finished += 1);
        }
        delivered && finish.is_none()
    }

    /// The reason to end with the next token.
    fn finish(&self) -> Option<&'static str> {
        match self.length {
            Length::Bounded(end, reason) if self.next + 1 >= end => Some(reason),
            _ => None,
        }
    }
}

fn length(prompt: &str, max_tokens: u32) -> Length {
    if text::has(prompt, "endless") {
        return Length::Endless;
    }
    let wanted: Option<u32> = text::value(prompt, "tokens").and_then(|n| n.parse().ok());
    match wanted {
        Some(tokens) if tokens <= max_tokens => Length::Bounded(tokens, "stop"),
        _ => Length::Bounded(max_tokens, "length"),
    }
}

#[derive(Default)]
pub(crate) struct Batch {
    active: Vec<Sequence>,
    queue: VecDeque<Sequence>,
}

impl Batch {
    pub(crate) fn active(&self) -> u32 {
        self.active.len() as u32
    }

    pub(crate) fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.queue.push_back(sequence);
    }

    /// Removes a stream; its slot is free for the next step.
    pub(crate) fn cancel(&mut self, id: &str, counts: &mut Counts) {
        let sequences = self.active.iter().chain(&self.queue);
        for sequence in sequences.filter(|sequence| sequence.id == id) {
            counts.change(&sequence.id, &sequence.name, |run| run.cancelled += 1);
        }
        self.active.retain(|sequence| sequence.id != id);
        self.queue.retain(|sequence| sequence.id != id);
    }

    /// Fills free slots and returns the time of the step, or nothing when there is no work.
    pub(crate) fn begin_step(
        &mut self,
        settings: &Settings,
        cache: &mut Cache,
        counts: &mut Counts,
    ) -> Option<Duration> {
        self.queue.retain(|sequence| !sequence.events.is_closed());
        while self.active() < settings.slots {
            let Some(mut sequence) = self.queue.pop_front() else { break };
            let prompt_tokens = cache.admit(&sequence.prompt, settings.cache_blocks);
            sequence.prefill = prompt_tokens + sequence.resumed_tokens;
            counts.change(&sequence.id, &sequence.name, |run| run.started += 1);
            self.active.push(sequence);
        }
        if self.active.is_empty() {
            return None;
        }
        counts.steps += 1;
        counts.peak_active = counts.peak_active.max(self.active());
        let prefill = self.take_prefill(settings.prefill_tokens_per_step);
        let millis = settings.step_ms
            + settings.step_ms_per_sequence * f64::from(self.active())
            + settings.prefill_ms_per_1000_tokens * f64::from(prefill) / 1_000.0;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Takes in prompt tokens, in order of arrival, and returns how many.
    fn take_prefill(&mut self, limit: u32) -> u32 {
        let mut left = limit;
        for sequence in &mut self.active {
            let taken = sequence.prefill.min(left);
            sequence.prefill -= taken;
            left -= taken;
        }
        limit - left
    }

    /// Ends the step: each sequence whose prompt is prefilled gets one token.
    pub(crate) fn end_step(&mut self, counts: &mut Counts) {
        self.active.retain_mut(|sequence| {
            if text::has(&sequence.prompt, "crash") {
                process::exit(CRASH_CODE);
            }
            if sequence.events.is_closed() {
                counts.change(&sequence.id, &sequence.name, |run| run.cancelled += 1);
                return false;
            }
            sequence.prefill > 0 || sequence.step(counts)
        });
    }
}
