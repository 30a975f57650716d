use super::*;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for &(name, value) in lines {
        headers.append(HeaderName::from_static(name), value.parse().expect("a value"));
    }
    headers
}

#[test]
fn what_is_not_known_goes_on_as_it_came_and_in_its_order() {
    let came = headers(&[
        ("host", "app.svc"),
        ("idempotency-key", "k-1"),
        ("x-anything", "one"),
        ("content-type", "application/json"),
        ("x-anything", "two"),
    ]);
    let passed = end_to_end_headers(&came);
    let passed: Vec<_> = passed.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    let wanted: [(&str, &[u8]); 4] = [
        ("idempotency-key", b"k-1"),
        ("x-anything", b"one"),
        ("x-anything", b"two"),
        ("content-type", b"application/json"),
    ];
    assert_eq!(passed, wanted);
}

#[test]
fn what_belongs_to_the_clients_connection_or_is_written_anew_stays_behind() {
    let came = headers(&[
        ("connection", "close, X-Hop"),
        ("connection", "x-other-hop"),
        ("x-hop", "1"),
        ("x-other-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("content-length", "5"),
        ("request-id", "0a"),
        ("request-timeout-ms", "500"),
    ]);
    assert!(end_to_end_headers(&came).is_empty(), "{:?}", end_to_end_headers(&came));
}
