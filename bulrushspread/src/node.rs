//! One node: the context that the slices share, and the start of their tasks.

use std::sync::Arc;

use async_trait::async_trait;
use std::net::SocketAddr;

use crate::{
    id::Incarnation,
    journal,
    metrics::{self, Metrics},
    peer::{Message, Transport, message::Envelope, transport::Handler},
    settings::Settings,
    time::Clock,
    upstream, vms,
};

pub type Result<T> = anyhow::Result<T>;
pub type Shared = Arc<Context>;

/// What every slice of one node can reach.
pub struct Context {
    pub settings: Settings,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub metrics: Metrics,
    pub log: journal::store::Shared,
    pub vms: vms::Shared,
    pub upstreams: upstream::Shared,
    pub peer: Arc<Transport>,
}

/// Runs a node until it is told to stop.
pub async fn run(settings: Settings) -> Result<()> {
    let context = Arc::new(build(settings)?);
    let peer = context.peer.clone();
    peer.serve(Arc::new(Dispatch(context))).await;
    Ok(())
}

fn build(settings: Settings) -> Result<Context> {
    let clock = Clock::default();
    let incarnation = Incarnation(clock.wall().0);
    let statsd = settings.telemetry.statsd.map(|address| address.to_string());
    let metrics = metrics::connect(statsd.as_deref())?;
    let log = Arc::new(journal::http::Http::new(settings.platform.log));
    let vms = Arc::new(vms::http::Http::new(settings.platform.vm_list));
    let upstreams = Arc::new(upstream::http::Http::default());
    let peer = Arc::new(Transport::bind(&settings.peer, settings.vm.clone(), incarnation)?);
    Ok(Context { settings, clock, incarnation, metrics, log, vms, upstreams, peer })
}

/// Hands what other nodes say to the slice that it concerns.
struct Dispatch(Shared);

#[async_trait]
impl Handler for Dispatch {
    async fn datagram(&self, envelope: Envelope, _from: SocketAddr) {
        match envelope.message {
            Message::Admit(message) => match message {},
            Message::Attempt(message) => match message {},
            Message::Batch(message) => match message {},
            Message::Config(message) => match message {},
            Message::Membership(message) => match message {},
            Message::Route(message) => match message {},
            Message::Done | Message::Failed(_) => {}
        }
    }

    async fn request(&self, envelope: Envelope, _from: SocketAddr) -> Message {
        match envelope.message {
            Message::Admit(message) => match message {},
            Message::Attempt(message) => match message {},
            Message::Batch(message) => match message {},
            Message::Config(message) => match message {},
            Message::Membership(message) => match message {},
            Message::Route(message) => match message {},
            Message::Done | Message::Failed(_) => {
                let _ = &self.0;
                Message::Done
            }
        }
    }
}
