//! One node: the context that the slices share, and the start and stop of their tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use tokio::{signal::unix, sync::watch};

use crate::{
    admit, attempt, batch, config, gateway,
    id::{Incarnation, Vm},
    journal, membership,
    metrics::{self, Metrics},
    operator,
    peer::{Message, Transport, message::Envelope, rotation, transport::Handler},
    placement, route,
    settings::Settings,
    telemetry::trace,
    time::Clock,
    upstream, vms,
};

pub type Result<T> = anyhow::Result<T>;
pub type Shared = Arc<Context>;

/// Where a node stands between start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Starting,
    Serving,
    /// Takes no new requests or duties; finishes or hands over what it has.
    Draining,
}

/// The addresses that the listeners got. Written to stdout as one JSON line once all listen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    pub vm: Vm,
    pub gateway: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
}

/// What every slice of one node can reach.
pub struct Context {
    pub settings: Settings,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub metrics: Metrics,
    pub phase: watch::Sender<Phase>,
    /// The index of the document in force.
    pub directory: gateway::Cache,
    /// The callers' listener.
    pub listener: gateway::Listener,
    /// Set by the gateway once it listens.
    pub gateway_address: OnceLock<SocketAddr>,
    /// Set by the operator slice once it listens.
    pub operator_address: OnceLock<SocketAddr>,
    pub log: journal::store::Shared,
    pub vms: vms::Shared,
    pub upstreams: upstream::Shared,
    pub peer: Arc<Transport>,
    pub admit: admit::Handle,
    pub attempt: attempt::Handle,
    pub batch: batch::Handle,
    pub config: config::Handle,
    pub journal: journal::Handle,
    pub membership: membership::Handle,
    pub operator: operator::Handle,
    pub route: route::Handle,
}

/// Runs a node until it is told to stop by SIGTERM or SIGINT.
pub async fn run(settings: Settings) -> Result<()> {
    let traces = trace::start(settings.telemetry.otlp.as_deref(), &settings.vm)?;
    let context = Arc::new(build(settings)?);
    let peer = context.peer.clone();
    let dispatch = Arc::new(Dispatch(context.clone()));
    tokio::spawn(async move { peer.serve(dispatch).await });
    tokio::spawn(rotation::follow(context.settings.peer.clone(), context.peer.clone()));
    start(&context).await?;
    context.phase.send_replace(Phase::Serving);
    println!("{}", serde_json::to_string(&ready(&context)?)?);
    log::info!("node {} serves", context.settings.vm);
    wait_for_signal().await?;
    context.phase.send_replace(Phase::Draining);
    log::info!("node {} drains", context.settings.vm);
    stop(&context).await;
    context.peer.close();
    if let Some(traces) = traces {
        traces.shutdown()?;
    }
    Ok(())
}

fn build(settings: Settings) -> Result<Context> {
    let clock = Clock::default();
    let incarnation = Incarnation(clock.wall_time().0);
    let statsd = settings.telemetry.statsd.map(|address| address.to_string());
    let peer = Transport::bind(&settings.peer, settings.vm.clone(), incarnation)?;
    Ok(Context {
        clock,
        incarnation,
        metrics: metrics::connect(statsd.as_deref())?,
        phase: watch::channel(Phase::Starting).0,
        directory: gateway::Cache::default(),
        listener: gateway::Listener::default(),
        gateway_address: OnceLock::new(),
        operator_address: OnceLock::new(),
        log: Arc::new(journal::http::Http::new(settings.platform.log)),
        vms: Arc::new(vms::http::Http::new(settings.platform.vm_list)),
        upstreams: Arc::new(upstream::http::Http::default()),
        peer: Arc::new(peer),
        admit: admit::Handle::new(settings.admit.clone()),
        attempt: attempt::Handle::new(settings.attempt.clone(), incarnation.0),
        batch: batch::Handle::default(),
        config: config::Handle::default(),
        journal: journal::Handle::default(),
        membership: membership::Handle::default(),
        operator: operator::Handle::default(),
        route: route::Handle::new(
            settings.route.clone(),
            settings.data_centre.clone(),
            incarnation.0,
        ),
        settings,
    })
}

/// Starts the slices: those that others rest on first, the listeners last.
async fn start(context: &Shared) -> Result<()> {
    journal::task::start(context).await?;
    membership::task::start(context).await?;
    config::task::start(context).await?;
    route::task::start(context).await?;
    admit::task::start(context).await?;
    attempt::task::start(context).await?;
    batch::task::start(context).await?;
    placement::task::start(context).await?;
    operator::task::start(context).await?;
    gateway::task::start(context).await
}

/// Stops the slices: callers first, so that nothing in flight is cut off.
async fn stop(context: &Shared) {
    gateway::task::stop(context).await;
    batch::task::stop(context).await;
    membership::task::stop(context).await;
    operator::task::stop(context).await;
}

fn ready(context: &Context) -> Result<Ready> {
    let listen = &context.settings;
    Ok(Ready {
        vm: listen.vm.clone(),
        gateway: *context.gateway_address.get().unwrap_or(&listen.gateway.listen),
        operator: *context.operator_address.get().unwrap_or(&listen.operator.listen),
        peer: context.peer.local_address()?,
    })
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Hands what other nodes say to the slice that it concerns.
struct Dispatch(Shared);

impl Dispatch {
    async fn serve(&self, envelope: Envelope, from: SocketAddr) -> Message {
        let context = &self.0;
        let from = (envelope.from, from);
        match envelope.message {
            Message::Admit(message) => admit::task::serve(context, from, message).await,
            Message::Attempt(message) => attempt::task::serve(context, from, message).await,
            Message::Batch(message) => batch::task::serve(context, from, message).await,
            Message::Config(message) => config::task::serve(context, from, message).await,
            Message::Membership(message) => membership::task::serve(context, from, message).await,
            Message::Route(message) => route::task::serve(context, from, message).await,
            Message::Done | Message::Failed(_) => Message::Done,
        }
    }
}

#[async_trait]
impl Handler for Dispatch {
    async fn datagram(&self, envelope: Envelope, from: SocketAddr) {
        self.serve(envelope, from).await;
    }

    async fn request(&self, envelope: Envelope, from: SocketAddr) -> Message {
        self.serve(envelope, from).await
    }
}
