//! Online arrivals in bursts with seconds of idle between them, and batch items.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::json;

/// The rate of requests in a burst against the rate between bursts.
const BURST_FACTOR: f64 = 15.0;
/// Bounds of the length of a burst.
const BURST: (Duration, Duration) = (Duration::from_millis(1_000), Duration::from_millis(3_000));
/// Bounds of the time between two bursts.
const LULL: (Duration, Duration) = (Duration::from_millis(2_000), Duration::from_millis(6_000));
/// Bounds of the tokens of an online prompt and of its answer.
const ONLINE_PROMPT: (u32, u32) = (50, 400);
const ONLINE_TOKENS: (u32, u32) = (8, 48);
/// Bounds of the tokens of a batch prompt and of its answer.
const BATCH_PROMPT: (u32, u32) = (100, 800);
const BATCH_TOKENS: (u32, u32) = (24, 96);
/// Bytes of one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// One online request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time since the start of the trial.
    pub(super) at: Duration,
    pub(super) prompt: String,
    pub(super) tokens: u32,
}

/// What all trials of one run have in common.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) arrivals: Vec<Arrival>,
    seed: u64,
}

impl Workload {
    pub(super) fn new(seed: u64, span: Duration, burst_rate: f64) -> Workload {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut phase_end = between(&mut rng, LULL);
        let mut burst = false;
        let mut at = Duration::ZERO;
        while at < span {
            if at >= phase_end {
                burst = !burst;
                phase_end = at + between(&mut rng, if burst { BURST } else { LULL });
            }
            let rate = if burst { burst_rate } else { burst_rate / BURST_FACTOR };
            let gap = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            let next = at + Duration::from_secs_f64(gap);
            // A gap that reaches into the next phase is drawn anew there.
            if next > phase_end {
                at = phase_end;
                continue;
            }
            at = next;
            let index = arrivals.len();
            arrivals.push(Arrival {
                at,
                prompt: prompt(&mut rng, "online", index, ONLINE_PROMPT),
                tokens: rng.random_range(ONLINE_TOKENS.0..=ONLINE_TOKENS.1),
            });
        }
        Workload { arrivals, seed }
    }

    /// The lines of a batch job. Each job has other prompts.
    pub(super) fn job(&self, job: usize, items: usize, model: &str) -> String {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (job as u64 + 1) << 32);
        (0..items).map(|item| line(&mut rng, job * items + item, model)).collect()
    }
}

fn line(rng: &mut SmallRng, index: usize, model: &str) -> String {
    let prompt = prompt(rng, "batch", index, BATCH_PROMPT);
    let tokens = rng.random_range(BATCH_TOKENS.0..=BATCH_TOKENS.1);
    let item = json!({
        "custom_id": format!("item-{index}"),
        "method": "POST",
        "url": "/v1/completions",
        "body": { "model": model, "prompt": prompt, "max_tokens": tokens },
    });
    format!("{item}\n")
}

/// A prompt that no prefix cache knows, counted by engines under `name`.
fn prompt(rng: &mut SmallRng, name: &str, index: usize, bounds: (u32, u32)) -> String {
    let tokens = rng.random_range(bounds.0..=bounds.1) as usize;
    let head = format!("{index} {} <id:{name}> ", rng.random_range(0..u32::MAX));
    let filler = (tokens * BYTES_PER_TOKEN).saturating_sub(head.len());
    head + &"note ".repeat(filler / 5)
}

fn between(rng: &mut SmallRng, (least, most): (Duration, Duration)) -> Duration {
    rng.random_range(least..=most)
}
