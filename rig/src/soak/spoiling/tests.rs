use super::*;

#[test]
fn an_answer_is_spoilt_behind_its_head_or_a_chunk() {
    assert_eq!(boundary(b"HTTP/1.1 200 OK\r\n\r\n5\r\n"), Some(19));
    assert_eq!(boundary(b"9\r\ndata: a\n\n\r\n0\r\n\r\n"), Some(14));
    assert_eq!(boundary(b"9\r\ndata: a"), None);
    assert_eq!(boundary(b"0\r\n\r\n"), None);
    assert_eq!(boundary(b"\n\r\n"), None);
    assert_eq!(boundary(b"0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), Some(24));
}
