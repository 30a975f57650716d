//! Identities on the chat front, with certificates made here.

mod player;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, SanType};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, Stream};

struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: CertificateDer<'static>,
    pem: String,
}

fn authority() -> Authority {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let made = params.self_signed(&key).expect("a certificate");
    let (certificate, pem) = (made.der().clone(), made.pem());
    Authority { issuer: Issuer::new(params, key), certificate, pem }
}

/// A certificate that names these URIs, and its key.
fn svid(by: &Authority, uris: &[&str]) -> (String, CertificateDer<'static>, KeyPair) {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(vec!["chat".into()]).expect("parameters");
    params.subject_alt_names.extend(uris.iter().map(|u| SanType::URI((*u).try_into().expect("a URI"))));
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
    let made = params.signed_by(&key, &by.issuer).expect("a certificate");
    (made.pem(), made.der().clone(), key)
}

/// What a client with this identity reads from `GET /v1/models`, or why it gets nothing.
fn ask(
    addr: &str, trust: &Authority, identity: Option<(CertificateDer<'static>, KeyPair)>,
) -> std::io::Result<String> {
    let mut roots = RootCertStore::empty();
    roots.add(trust.certificate.clone()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let config = config.expect("versions").with_root_certificates(roots);
    let config = match identity {
        Some((certificate, key)) => {
            let key = PrivateKeyDer::try_from(key.serialize_der()).expect("a key");
            config.with_client_auth_cert(vec![certificate], key).expect("an identity")
        }
        None => config.with_no_client_auth(),
    };
    let mut session = ClientConnection::new(Arc::new(config), ServerName::try_from("chat").expect("a name"))
        .map_err(std::io::Error::other)?;
    let mut socket = TcpStream::connect(addr)?;
    let mut stream = Stream::new(&mut session, &mut socket);
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

const CLUB: &str = "spiffe://hanbit.example/partner/club";

#[test]
fn only_allowed_identities_are_served() {
    let (ours, theirs) = (authority(), authority());
    let base = player::address();
    let (server, _, key) = svid(&ours, &["spiffe://hanbit.example/croftsill"]);
    player::file(&base, "svid.pem", &server);
    player::file(&base, "svid-key.pem", &key.serialize_pem());
    player::file(&base, "bundle.pem", &ours.pem);
    let tls = format!(
        "[tls]\ncertificate = \"svid.pem\"\nkey = \"svid-key.pem\"\ntrust_bundle = \"bundle.pem\"\nallowed_ids = [\"{CLUB}\"]\n"
    );
    let file = player::chat(&base, &["s1"], &tls);
    let mut program = player::Program::start(&base, &["--chat", file.to_str().expect("a plain path")], &[]);
    program.logs("chat front listens");
    let addr = format!("{base}:8090");
    let with = |by: &Authority, uris: &[&str]| {
        let (_, certificate, key) = svid(by, uris);
        ask(&addr, &ours, Some((certificate, key)))
    };
    let served = with(&ours, &[CLUB]).expect("an allowed identity is answered");
    assert!(served.starts_with("HTTP/1.1 200 OK") && served.contains("climb-assist"), "{served}");
    let denied = with(&ours, &["spiffe://hanbit.example/partner/other"]).expect("another one is told why");
    assert!(denied.starts_with("HTTP/1.1 403") && denied.contains("identity_not_allowed"), "{denied}");
    // No identity, two of them, one that is none, one of another authority, none at all: no answer.
    assert!(with(&ours, &[]).is_err());
    assert!(with(&ours, &[CLUB, "spiffe://hanbit.example/partner/two"]).is_err());
    assert!(with(&ours, &["https://hanbit.example/partner/club"]).is_err());
    assert!(with(&theirs, &[CLUB]).is_err());
    assert!(ask(&addr, &ours, None).is_err());
    // A bundle that is replaced while the program runs counts for the next client; one that is no bundle does not.
    player::file(&base, "bundle.pem", "no bundle");
    assert!(with(&ours, &[CLUB]).is_ok());
    player::file(&base, "bundle.pem", &format!("{}{}", ours.pem, theirs.pem));
    assert!(with(&theirs, &[CLUB]).is_ok_and(|text| text.starts_with("HTTP/1.1 200 OK")));
    // Without TLS there is no answer either.
    let mut plain = TcpStream::connect(&addr).expect("it listens");
    plain.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\n\r\n").expect("it reads");
    let mut text = Vec::new();
    let _ = plain.read_to_end(&mut text);
    assert!(!text.starts_with(b"HTTP"), "{}", String::from_utf8_lossy(&text));
    program.end();
}

#[test]
fn a_bad_operator_file_is_one_plain_line() {
    let base = player::address();
    let path = |file: &Path| file.to_str().expect("a plain path").to_owned();
    let ended = |words: &[&str], part: &str| {
        let mut program = player::Program::start(&base, words, &[]);
        let log = program.ended(false);
        assert!(log.lines().count() == 1 && log.contains(part), "{log}");
    };
    let bad_id =
        "[tls]\ncertificate = \"a\"\nkey = \"b\"\ntrust_bundle = \"c\"\nallowed_ids = [\"spiffe://Bad/\"]\n";
    ended(&["--chat", &path(&player::chat(&base, &["s1"], bad_id))], "is not a SPIFFE ID");
    let no_files = bad_id.replace("spiffe://Bad/", CLUB);
    ended(&["--chat", &path(&player::chat(&base, &["s1"], &no_files))], "/c: ");
    ended(&["--chat", &path(&player::chat(&base, &["s1"], "[colour]"))], "unknown field");
    ended(&["--chat", &path(&player::file(&base, "odd.toml", "listen = 1"))], "odd.toml: ");
    ended(&["--chat", "/nowhere"], "cannot read /nowhere");
    ended(&["--chat"], "usage: ");
    ended(&[], "nothing to do");
    let config = player::file(&base, "config.json", "{\"name\":1}");
    let mut program = player::Program::start(&base, &[], &[("LB_CONFIG", &config)]);
    let log = program.ended(false);
    assert!(log.lines().count() == 1 && log.contains("config.json: invalid type"), "{log}");
}
