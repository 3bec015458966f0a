//! The tasks of this slice.

use anyhow::{Context as _, anyhow};
use dropshot::{ConfigDropshot, HandlerTaskMode, ServerBuilder};

use crate::node::Shared;

use super::api;

pub(crate) type Result<T> = anyhow::Result<T>;

/// Bytes that the body of one request may have.
const BODY_LIMIT_BYTES: usize = 4 << 20;

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let listen = context.settings.operator.listen;
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: BODY_LIMIT_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let api = api::describe().map_err(|error| anyhow!(error))?;
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, context.clone(), quiet)
        .config(config)
        .start()
        .with_context(|| format!("can't listen on {listen} for operators"))?;
    let _ = context.operator_address.set(server.local_addr());
    context.operator.put(server);
    Ok(())
}

/// Stops the slice and waits until nothing of it is in flight.
pub(crate) async fn stop(context: &Shared) {
    let Some(server) = context.operator.take() else { return };
    if let Err(error) = server.close().await {
        log::warn!("operator: the listener did not close: {error}");
    }
}
