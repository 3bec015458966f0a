//! Waiting on conditions.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use anyhow::bail;

pub type Result<T> = anyhow::Result<T>;

/// Pause between two probes of a condition.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

/// Probes until there is a value. Fails with `what` once `bound` is over.
pub async fn wait_until<T, F>(
    what: &str,
    bound: Duration,
    mut probe: impl FnMut() -> F,
) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if start.elapsed() >= bound {
            bail!("not within {bound:?}: {what}");
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}
