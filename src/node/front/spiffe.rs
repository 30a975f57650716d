//! SPIFFE identities: mutual TLS whose peer is known by the URI in its certificate.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use serde::Deserialize;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// For a client to finish the handshake.
const HANDSHAKE: Duration = Duration::from_secs(5);
/// Longest SPIFFE ID, by the standard.
const ID_MOST: usize = 2_048;

/// The operator's settings for identities.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    certificate: std::path::PathBuf,
    key: std::path::PathBuf,
    trust_bundle: std::path::PathBuf,
    allowed_ids: BTreeSet<String>,
}

/// Why identities cannot be set up, or a client has proved none.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// A file is not what it should be.
    #[error("{0}: {1}")]
    File(String, String),
    /// An allowed identity is no SPIFFE ID.
    #[error("allowed_ids: \"{0}\" is not a SPIFFE ID")]
    Id(String),
    /// The handshake failed.
    #[error("{0}")]
    Handshake(#[from] std::io::Error),
    /// The handshake took too long.
    #[error("the handshake took over {} s", HANDSHAKE.as_secs())]
    Slow,
    /// The certificate names no single SPIFFE ID.
    #[error("its certificate must name exactly one SPIFFE ID as URI")]
    NoId,
}

/// Who a client is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    /// Identities are not asked for.
    Unproven,
    /// It has this identity, and that is allowed.
    Allowed(Rc<str>),
    /// It has this identity, which is not on the list.
    Denied(Rc<str>),
}

/// Proves who clients are.
#[derive(Clone)]
pub struct Identities(Rc<Shared>);

struct Shared {
    tls: Tls,
    current: RefCell<(Stamps, TlsAcceptor)>,
}

/// When the files last changed, and their lengths.
type Stamps = [Option<(SystemTime, u64)>; 3];

/// Whether a text is a SPIFFE ID: a trust domain and a path, without the parts that the standard forbids.
pub fn is_spiffe_id(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("spiffe://").filter(|_| text.len() <= ID_MOST) else { return false };
    let (domain, path) = rest.split_once('/').map_or((rest, None), |(domain, path)| (domain, Some(path)));
    let in_domain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    let in_path = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    let segment = |s: &str| !s.is_empty() && s != "." && s != ".." && s.chars().all(in_path);
    (1..=255).contains(&domain.len())
        && domain.chars().all(in_domain)
        && path.is_none_or(|path| path.split('/').all(segment))
}

/// The one SPIFFE ID that a certificate names.
pub fn spiffe_id(certificate: &[u8]) -> Result<String, IdentityError> {
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(|_| IdentityError::NoId)?;
    let names = certificate.subject_alternative_name().map_err(|_| IdentityError::NoId)?;
    let uris = names.iter().flat_map(|names| &names.value.general_names).filter_map(|name| match name {
        GeneralName::URI(uri) => Some(*uri),
        _ => None,
    });
    match uris.collect::<Vec<_>>()[..] {
        [id] if is_spiffe_id(id) => Ok(id.to_owned()),
        _ => Err(IdentityError::NoId),
    }
}

impl Tls {
    fn stamps(&self) -> Stamps {
        [&self.certificate, &self.key, &self.trust_bundle].map(|path| {
            let file = std::fs::metadata(path).ok()?;
            Some((file.modified().ok()?, file.len()))
        })
    }

    fn acceptor(&self) -> Result<TlsAcceptor, IdentityError> {
        let fault = |path: &Path, why: String| IdentityError::File(path.display().to_string(), why);
        let certificates = |path: &Path| -> Result<Vec<CertificateDer<'static>>, IdentityError> {
            let read = CertificateDer::pem_file_iter(path).and_then(|all| all.collect::<Result<Vec<_>, _>>());
            read.map_err(|e| fault(path, e.to_string()))
        };
        let mut roots = RootCertStore::empty();
        for root in certificates(&self.trust_bundle)? {
            roots.add(root).map_err(|e| fault(&self.trust_bundle, e.to_string()))?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
            .build()
            .map_err(|e| fault(&self.trust_bundle, e.to_string()))?;
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|e| fault(&self.key, e.to_string()))?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| fault(&self.certificate, e.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(certificates(&self.certificate)?, key)
            .map_err(|e| fault(&self.certificate, e.to_string()))?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

impl Identities {
    /// Reads certificate, key and trust bundle; relative paths start at `base`.
    pub fn read(mut tls: Tls, base: &Path) -> Result<Self, IdentityError> {
        for path in [&mut tls.certificate, &mut tls.key, &mut tls.trust_bundle] {
            *path = base.join(&*path);
        }
        if let Some(unfit) = tls.allowed_ids.iter().find(|id| !is_spiffe_id(id)) {
            return Err(IdentityError::Id(unfit.clone()));
        }
        let current = RefCell::new((tls.stamps(), tls.acceptor()?));
        Ok(Identities(Rc::new(Shared { tls, current })))
    }

    /// Identities are short-lived and their files are replaced while the program runs; what cannot be read, perhaps
    /// half written, leaves the last ones in use until the next client.
    fn acceptor(&self) -> TlsAcceptor {
        let Shared { tls, current } = &*self.0;
        let stamps = tls.stamps();
        if stamps != current.borrow().0 {
            match tls.acceptor() {
                Ok(acceptor) => {
                    tracing::info!("intake: read the changed identity files");
                    current.replace((stamps, acceptor));
                }
                Err(fault) => tracing::warn!("intake: kept the old identity files: {fault}"),
            }
        }
        current.borrow().1.clone()
    }

    /// Takes a client through the handshake and says who it is.
    pub async fn prove<I>(&self, socket: I) -> Result<(TlsStream<I>, Peer), IdentityError>
    where
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let accepted = timeout(HANDSHAKE, self.acceptor().accept(socket)).await;
        let stream = accepted.map_err(|_| IdentityError::Slow)??;
        let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
        let id = spiffe_id(chain.first().ok_or(IdentityError::NoId)?)?;
        let known = self.0.tls.allowed_ids.contains(&id);
        let id: Rc<str> = id.into();
        if !known {
            tracing::warn!("intake: {id} is not among the allowed identities");
        }
        Ok((stream, if known { Peer::Allowed(id) } else { Peer::Denied(id) }))
    }
}
