use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

async fn pair() -> (TcpStream, RetryInterrupted<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it listens");
    (client, RetryInterrupted(listener.accept().await.expect("a connection").0))
}

/// Guards against a close that is only noticed once the runtime has had its turn: the looks here give it none.
#[tokio::test]
async fn a_close_is_found_at_once_behind_bytes_that_nobody_has_read() {
    let (mut client, socket) = pair().await;
    assert_eq!(socket.look_for_close(1_000_000), Look::default());
    client.write_all(&[b'x'; 100_000]).await.expect("room in the buffers");
    assert_eq!(socket.look_for_close(1_000_000), Look { bytes: 100_000, has_closed: false });
    client.write_all(b"more").await.expect("room in the buffers");
    drop(client);
    assert_eq!(socket.look_for_close(1_000_000), Look { bytes: 4, has_closed: true });
    assert_eq!(socket.look_for_close(1_000_000), Look { bytes: 0, has_closed: true });
}

#[tokio::test]
async fn a_look_reads_no_more_than_it_may_by_a_buffer() {
    let (mut client, socket) = pair().await;
    client.write_all(&[b'x'; 200_000]).await.expect("room in the buffers");
    let look = socket.look_for_close(100_000);
    assert!(look.bytes < 100_000 + SCRATCH_BYTES && !look.has_closed, "{look:?}");
}
