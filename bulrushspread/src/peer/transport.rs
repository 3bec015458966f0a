//! QUIC connections between nodes: datagrams that may be lost, and requests that are answered.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::{Context, anyhow, bail};
use async_trait::async_trait;
use futures_util::FutureExt;
use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};

use crate::id::{Incarnation, Vm};

use super::{
    Settings,
    links::{self, Links},
    message::{Envelope, Message},
    traffic::{Bytes, Traffic},
};

pub type Result<T> = anyhow::Result<T>;

/// The name that every node's certificate carries.
pub const CERTIFICATE_NAME: &str = "peer.bulrushspread";
/// Bytes that one request or response may have.
const MESSAGE_LIMIT_BYTES: usize = 16 << 20;
/// A connection without traffic closes after this time.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Time that a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Serves what other nodes say.
#[async_trait]
pub trait Handler: Send + Sync {
    /// A datagram. There is no answer.
    async fn datagram(&self, envelope: Envelope, from: SocketAddr);

    /// A request. What this returns goes back to the sender.
    async fn request(&self, envelope: Envelope, from: SocketAddr) -> Message;
}

/// This node's endpoint and its connections to other nodes.
pub struct Transport {
    vm: Vm,
    incarnation: Incarnation,
    endpoint: Endpoint,
    /// The keys of connections that this node opens.
    client: Mutex<ClientConfig>,
    timeout: Duration,
    links: Links,
    traffic: Traffic,
}

impl Transport {
    /// Binds the UDP socket and loads the keys.
    pub fn bind(settings: &Settings, vm: Vm, incarnation: Incarnation) -> Result<Transport> {
        let (server, client) = load_keys(settings)?;
        let endpoint = Endpoint::server(server, settings.listen)
            .with_context(|| format!("can't listen on {}", settings.listen))?;
        Ok(Transport {
            vm,
            incarnation,
            endpoint,
            client: Mutex::new(client),
            timeout: Duration::from_millis(settings.timeout_ms),
            links: Links::default(),
            traffic: Traffic::default(),
        })
    }

    /// The address that the socket got.
    pub fn local_address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Reads the key files again. New connections use them.
    pub fn reload_keys(&self, settings: &Settings) -> Result<()> {
        let (server, client) = load_keys(settings)?;
        self.endpoint.set_server_config(Some(server));
        *self.client.lock().unwrap() = client;
        self.links.clear();
        Ok(())
    }

    /// Accepts connections until the endpoint closes.
    pub async fn serve(&self, handler: Arc<dyn Handler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handler = handler.clone();
            let traffic = self.traffic.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => {
                        traffic.watch(&connection);
                        serve_connection(connection, handler).await;
                    }
                    Err(error) => log::debug!("peer: a connection was not accepted: {error}"),
                }
            });
        }
    }

    /// Sends a datagram. It may be lost.
    pub async fn send(&self, to: SocketAddr, message: Message) -> Result<()> {
        let connection = self.connection(to).await?;
        connection.send_datagram(self.envelope(message)?.into())?;
        Ok(())
    }

    /// Sends a request and waits for its answer.
    pub async fn call(&self, to: SocketAddr, message: Message) -> Result<Message> {
        let answer = tokio::time::timeout(self.timeout, self.exchange(to, message)).await;
        match answer {
            Ok(Ok(Message::Failed(reason))) => bail!("{to} refused: {reason}"),
            Ok(answer) => answer,
            Err(_) => Err(anyhow!("{to} did not answer in {:?}", self.timeout)),
        }
    }

    /// Bytes exchanged with other nodes since the start.
    pub fn traffic(&self) -> Bytes {
        self.traffic.total()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"closing");
    }

    async fn exchange(&self, to: SocketAddr, message: Message) -> Result<Message> {
        let connection = self.connection(to).await?;
        let (mut send, mut receive) = connection.open_bi().await?;
        send.write_all(&self.envelope(message)?).await?;
        send.finish()?;
        let answer = receive.read_to_end(MESSAGE_LIMIT_BYTES).await?;
        Ok(postcard::from_bytes(&answer)?)
    }

    fn envelope(&self, message: Message) -> Result<Vec<u8>> {
        let envelope = Envelope { from: self.vm.clone(), incarnation: self.incarnation, message };
        Ok(postcard::to_stdvec(&envelope)?)
    }

    async fn connection(&self, to: SocketAddr) -> Result<Connection> {
        let connect = || {
            let client = self.client.lock().unwrap().clone();
            connect(self.endpoint.clone(), client, to, self.traffic.clone()).boxed()
        };
        self.links.get(to, connect).await.map_err(|reason| anyhow!(reason))
    }
}

async fn connect(
    endpoint: Endpoint,
    client: ClientConfig,
    to: SocketAddr,
    traffic: Traffic,
) -> links::Result<Connection> {
    let connecting =
        endpoint.connect_with(client, to, CERTIFICATE_NAME).map_err(|error| error.to_string())?;
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| format!("{to} did not accept a connection in {CONNECT_TIMEOUT:?}"))?
        .map_err(|error| error.to_string())?;
    traffic.watch(&connection);
    Ok(connection)
}

async fn serve_connection(connection: Connection, handler: Arc<dyn Handler>) {
    let from = connection.remote_address();
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(datagram) = datagram else { return };
                let Ok(envelope) = postcard::from_bytes(&datagram) else { continue };
                let handler = handler.clone();
                tokio::spawn(async move { handler.datagram(envelope, from).await });
            }
            stream = connection.accept_bi() => {
                let Ok((send, receive)) = stream else { return };
                tokio::spawn(serve_request(send, receive, from, handler.clone()));
            }
        }
    }
}

async fn serve_request(
    mut send: quinn::SendStream,
    mut receive: quinn::RecvStream,
    from: SocketAddr,
    handler: Arc<dyn Handler>,
) {
    let Ok(request) = receive.read_to_end(MESSAGE_LIMIT_BYTES).await else { return };
    let answer = match postcard::from_bytes(&request) {
        Ok(envelope) => handler.request(envelope, from).await,
        Err(error) => Message::Failed(format!("the request can't be read: {error}")),
    };
    let Ok(answer) = postcard::to_stdvec(&answer) else { return };
    if send.write_all(&answer).await.is_ok() {
        let _ = send.finish();
        let _ = send.stopped().await;
    }
}

fn load_keys(settings: &Settings) -> Result<(ServerConfig, ClientConfig)> {
    let provider = Arc::new(ring::default_provider());
    let roots = Arc::new(load_authorities(&settings.authorities)?);
    let server = server_config(settings, provider.clone(), roots.clone())?;
    let client = client_config(settings, provider, roots)?;
    Ok((server, client))
}

fn server_config(
    settings: &Settings,
    provider: Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
) -> Result<ServerConfig> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build()?;
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(load_certificates(&settings.certificate)?, load_key(&settings.key)?)?;
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
    config.transport_config(transport_config());
    Ok(config)
}

fn client_config(
    settings: &Settings,
    provider: Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
) -> Result<ClientConfig> {
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(
            load_certificates(&settings.certificate)?,
            load_key(&settings.key)?,
        )?;
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(transport_config());
    Ok(config)
}

fn transport_config() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    Arc::new(config)
}

fn load_authorities(path: &str) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in load_certificates(path)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}

fn load_certificates(path: &str) -> Result<Vec<CertificateDer<'static>>> {
    let pem = fs::read(path).with_context(|| format!("can't read {path}"))?;
    let certificates =
        CertificateDer::pem_slice_iter(&pem).collect::<std::result::Result<Vec<_>, _>>();
    certificates.with_context(|| format!("{path} holds no PEM certificate"))
}

fn load_key(path: &str) -> Result<PrivateKeyDer<'static>> {
    let pem = fs::read(path).with_context(|| format!("can't read {path}"))?;
    PrivateKeyDer::from_pem_slice(&pem).with_context(|| format!("{path} holds no PEM key"))
}
