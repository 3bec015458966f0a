//! A TCP and UDP proxy that injects faults between a client and one target.
//!
//! TCP and UDP listen on the same port. `POST /control` on the control address sets the target
//! and the faults, `GET /control` reads them.

mod faults;
mod tcp;
mod udp;

use std::{net::SocketAddr, sync::Arc};

use http::{Method, StatusCode};
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};

use crate::web::{self, Request, Response, Result};

pub use faults::{Mode, Settings};

use faults::Faults;

/// Ports tried before the proxy gives up to find one that is free for both TCP and UDP.
const BIND_ATTEMPTS: u32 = 20;

/// The sockets of a proxy.
pub struct Sockets {
    tcp: TcpListener,
    udp: UdpSocket,
    control: TcpListener,
}

impl Sockets {
    /// Binds TCP and UDP to the same port, and the control listener to another.
    pub async fn bind(listen: SocketAddr) -> anyhow::Result<Sockets> {
        let control = TcpListener::bind(SocketAddr::new(listen.ip(), 0)).await?;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let tcp = TcpListener::bind(listen).await?;
            match UdpSocket::bind(tcp.local_addr()?).await {
                Ok(udp) => return Ok(Sockets { tcp, udp, control }),
                Err(error) if attempt >= BIND_ATTEMPTS || listen.port() != 0 => {
                    return Err(error.into());
                }
                Err(_) => {}
            }
        }
    }

    /// The address that clients use.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.tcp.local_addr()?)
    }

    /// The address of the control listener.
    pub fn control(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.control.local_addr()?)
    }
}

/// Relays until a listener fails.
pub async fn serve(sockets: Sockets, settings: Settings) -> anyhow::Result<()> {
    let faults = Arc::new(Faults::new(settings));
    tokio::try_join!(
        tcp::relay(sockets.tcp, faults.clone()),
        udp::relay(sockets.udp, faults.clone()),
        web::serve(sockets.control, faults, handle),
    )?;
    Ok(())
}

async fn handle(faults: Arc<Faults>, request: Request) -> Result<Response> {
    let method = request.method.clone();
    let response = match (method, request.segments().as_slice()) {
        (Method::GET, ["control"]) => web::ok(&json!({ "settings": faults.settings() })),
        (Method::POST, ["control"]) => match web::merge(&faults.settings(), &request.body) {
            Ok(settings) => {
                faults.set(settings);
                web::ok(&json!({ "settings": faults.settings() }))
            }
            Err(response) => *response,
        },
        _ => web::refuse(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}
