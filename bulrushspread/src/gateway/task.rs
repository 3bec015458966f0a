//! The callers' listener: its endpoints, start and graceful stop.

use std::sync::Mutex;

use anyhow::anyhow;
use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, RequestContext, ServerBuilder,
    endpoint,
};
use http::StatusCode;

use crate::{
    error::{Error, Kind},
    node::{Phase, Shared},
    time::Millis,
};

use super::{
    answer::{self, Outcome},
    auth, batches, completions, files, models, services,
};

/// The running listener, until the node stops.
#[derive(Default)]
pub struct Listener {
    server: Mutex<Option<HttpServer<Shared>>>,
}

/// Starts to listen for callers.
pub(crate) async fn start(context: &Shared) -> anyhow::Result<()> {
    let config = ConfigDropshot {
        bind_address: context.settings.gateway.listen,
        // Bodies are bounded by the endpoints, so that the refusal is one of ours.
        default_request_body_max_bytes: usize::MAX,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api()?, context.clone(), log).config(config).start()?;
    let _ = context.gateway_address.set(server.local_addr());
    *context.listener.server.lock().unwrap() = Some(server);
    Ok(())
}

/// Stops listening and waits until all requests in flight have their whole answer.
pub(crate) async fn stop(context: &Shared) {
    tokio::time::sleep(Millis(context.settings.gateway.drain_notice_ms).duration()).await;
    let server = context.listener.server.lock().unwrap().take();
    let Some(server) = server else { return };
    if let Err(reason) = server.close().await {
        log::warn!("gateway: the listener did not close cleanly: {reason}");
    }
    context.attempt.drain(Millis(context.settings.gateway.deadline_ms)).await;
}

fn api() -> anyhow::Result<ApiDescription<Shared>> {
    let mut api = ApiDescription::new();
    register(&mut api).map_err(|error| anyhow!("the callers' API is not consistent: {error}"))?;
    Ok(api)
}

fn register(
    api: &mut ApiDescription<Shared>,
) -> std::result::Result<(), dropshot::ApiDescriptionRegisterError> {
    api.register(ready)?;
    api.register(batches::cancel_batch)?;
    api.register(batches::create_batch)?;
    api.register(batches::get_batch)?;
    api.register(batches::list_batches)?;
    api.register(files::create_file)?;
    api.register(files::get_file)?;
    api.register(files::get_file_content)?;
    api.register(completions::create_chat_completion)?;
    api.register(completions::create_completion)?;
    api.register(models::list_models)?;
    api.register(services::service_delete)?;
    api.register(services::service_get)?;
    api.register(services::service_head)?;
    api.register(services::service_options)?;
    api.register(services::service_patch)?;
    api.register(services::service_post)?;
    api.register(services::service_put)
}

/// Tells the balancer whether this node takes requests.
#[endpoint { method = GET, path = "/ready", unpublished = true }]
async fn ready(request: RequestContext<Shared>) -> Outcome {
    let phase = *request.context().phase.borrow();
    answer::of(match phase {
        Phase::Serving => auth::check_configured(request.context())
            .map(|()| answer::json(StatusCode::OK, &"ready")),
        Phase::Starting | Phase::Draining => {
            Err(Error::new(Kind::Draining, "this node takes no requests now"))
        }
    })
}
