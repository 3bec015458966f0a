//! Nodes trust one another by their certificates, which can change while they run.

use std::{fs, net::SocketAddr, path::Path, sync::Arc};

use async_trait::async_trait;
use bulrushspread::{
    id::{Incarnation, Vm},
    peer::{
        Message, Settings, Transport,
        message::Envelope,
        transport::{CERTIFICATE_NAME, Handler},
    },
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use tempfile::TempDir;

/// Answers every request with `Done`.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn datagram(&self, _envelope: Envelope, _from: SocketAddr) {}

    async fn request(&self, _envelope: Envelope, _from: SocketAddr) -> Message {
        Message::Done
    }
}

/// Writes the key files of a node, signed by an authority made for them.
fn write_keys(directory: &Path, authority: &Issuer<'_, KeyPair>, pem: &str) -> Settings {
    let key = KeyPair::generate().unwrap();
    let names = vec![CERTIFICATE_NAME.to_string()];
    let certificate = CertificateParams::new(names).unwrap().signed_by(&key, authority).unwrap();
    let write = |name: &str, text: String| {
        let path = directory.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    Settings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        certificate: write("node.pem", certificate.pem()),
        key: write("node.key", key.serialize_pem()),
        authorities: write("ca.pem", pem.to_string()),
        timeout_ms: 2_000,
    }
}

fn authority() -> (Issuer<'static, KeyPair>, String) {
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let pem = params.self_signed(&key).unwrap().pem();
    (Issuer::new(params, key), pem)
}

fn bind(settings: &Settings) -> Arc<Transport> {
    let transport = Transport::bind(settings, Vm::from("entry"), Incarnation(1)).unwrap();
    let transport = Arc::new(transport);
    let serving = transport.clone();
    tokio::spawn(async move { serving.serve(Arc::new(Echo)).await });
    transport
}

async fn answers(from: &Transport, to: &Transport) -> bool {
    from.call(to.local_address().unwrap(), Message::Done).await.is_ok()
}

#[tokio::test]
async fn nodes_with_keys_of_another_authority_are_refused() {
    let directories = [TempDir::new().unwrap(), TempDir::new().unwrap()];
    let [own, foreign] = directories.each_ref().map(|directory| {
        let (authority, pem) = authority();
        bind(&write_keys(directory.path(), &authority, &pem))
    });
    assert!(!answers(&foreign, &own).await);
    assert!(!answers(&own, &foreign).await);
}

#[tokio::test]
async fn new_keys_are_used_without_a_restart() {
    let directories = [TempDir::new().unwrap(), TempDir::new().unwrap()];
    let (first, first_pem) = authority();
    let keys = |issuer, pem: &str| {
        directories.each_ref().map(|directory| write_keys(directory.path(), issuer, pem))
    };
    let [one, other] = keys(&first, &first_pem).each_ref().map(bind);
    assert!(answers(&one, &other).await);

    let (second, second_pem) = authority();
    let [new_one, new_other] = keys(&second, &second_pem);
    one.reload_keys(&new_one).unwrap();
    assert!(!answers(&one, &other).await, "the old authority does not know the new keys");
    other.reload_keys(&new_other).unwrap();
    assert!(answers(&one, &other).await);
}
