//! Which of a client's headers go on to an instance: all but those that concern one connection alone, as a proxy passes on
//! what it does not know (RFC 9110, section 7.6).

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Names an attempt's request at instances, and their log of it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Tells an instance how long its answer is waited for.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Of one connection alone, whether or not `Connection` names them.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Written anew for each attempt. An expected `100 Continue` has been sent by the time that a body is here.
const WRITTEN_ANEW: [HeaderName; 5] = [HOST, CONTENT_LENGTH, EXPECT, REQUEST_ID, REQUEST_TIMEOUT];

/// Whether `Connection` names this header as one of the connection alone.
fn named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    let lists = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    lists.flat_map(|list| list.split(',')).any(|named| named.trim().eq_ignore_ascii_case(name.as_str()))
}

/// The headers that go on unchanged, in the order in which they came.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let dropped = |name: &HeaderName| {
        HOP_BY_HOP.contains(name) || WRITTEN_ANEW.contains(name) || named_by_connection(headers, name)
    };
    let mut passed = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| !dropped(name)) {
        passed.append(name, value.clone());
    }
    passed
}

#[cfg(test)]
mod tests;
