//! The UDP side of the proxy: one socket towards the target for each client.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio::net::UdpSocket;

use super::faults::{Faults, Mode};

/// Bytes that one packet may have.
const PACKET_BYTES: usize = 64 << 10;

pub(crate) async fn relay(socket: UdpSocket, faults: Arc<Faults>) -> anyhow::Result<()> {
    let socket = Arc::new(socket);
    let mut sessions: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; PACKET_BYTES];
    loop {
        // An error here belongs to an earlier packet that the client no longer took.
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(target) = faults.target() else { continue };
        let session = match sessions.get(&client) {
            Some(session) => session.clone(),
            None => {
                let session = open_session(client, &socket, &faults).await?;
                sessions.insert(client, session.clone());
                session
            }
        };
        forward(session, target, Bytes::copy_from_slice(&buffer[..length]), &faults);
    }
}

/// Opens a socket whose packets go back to the client.
async fn open_session(
    client: SocketAddr,
    socket: &Arc<UdpSocket>,
    faults: &Arc<Faults>,
) -> anyhow::Result<Arc<UdpSocket>> {
    let local = SocketAddr::new(socket.local_addr()?.ip(), 0);
    let session = Arc::new(UdpSocket::bind(local).await?);
    let (reader, socket, faults) = (session.clone(), socket.clone(), faults.clone());
    tokio::spawn(async move {
        let mut buffer = vec![0; PACKET_BYTES];
        loop {
            let Ok((length, _)) = reader.recv_from(&mut buffer).await else { continue };
            let packet = Bytes::copy_from_slice(&buffer[..length]);
            forward(socket.clone(), client, packet, &faults);
        }
    });
    Ok(session)
}

/// Sends a packet as the faults allow.
fn forward(socket: Arc<UdpSocket>, to: SocketAddr, packet: Bytes, faults: &Arc<Faults>) {
    if faults.draw_loss() || matches!(faults.mode(), Mode::Refuse | Mode::Blackhole) {
        return;
    }
    let delay = faults.draw_delay();
    if delay.is_zero() && faults.mode() == Mode::Pass {
        let _ = socket.try_send_to(&packet, to);
        return;
    }
    let faults = faults.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        faults.wait_for(|mode| mode != Mode::Freeze).await;
        let _ = socket.send_to(&packet, to).await;
    });
}
