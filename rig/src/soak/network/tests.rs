use super::*;

const WHILE: Duration = Duration::from_millis(300);

/// The network resets a connection while bytes of the near side wait in it, and reads the near side's end only when these are lost.
#[tokio::test]
async fn an_end_that_is_read_later_does_not_move_that_of_a_reset() -> std::io::Result<()> {
    let (clock, far) = (Clock::default(), TcpListener::bind("127.0.0.1:0").await?);
    let plan = Plan { way: Way::Down, after: 0, trouble: Trouble::Reset };
    let link = Link::to(far.local_addr()?, clock, Arc::new(move |_| Some(plan))).await?;
    let mut near = TcpStream::connect(link.address).await?;
    near.write_all(b"1").await?;
    let (mut server, _) = far.accept().await?;
    server.read_u8().await?;
    link.change(|state| state.up = Passing::Waits);
    near.write_all(b"2").await?;
    tokio::time::sleep(WHILE).await;
    server.write_all(b"3").await?;
    assert!(near.read_u8().await.is_err(), "a reset");
    let connection = link.opened_from(near.local_addr()?).expect("a connection");
    let ended = connection.near_ended().expect("an end");
    tokio::time::sleep(WHILE).await;
    link.silence_open();
    tokio::time::sleep(WHILE).await;
    assert_eq!(connection.near_ended(), Some(ended));
    Ok(())
}

/// The system gives the address of a connection that is over to another one, which the far side must not take for the first.
#[tokio::test]
async fn a_connection_that_is_over_is_not_known_by_its_address() -> std::io::Result<()> {
    let far = TcpListener::bind("127.0.0.1:0").await?;
    let link = Link::to(far.local_addr()?, Clock::default(), Arc::new(|_| None)).await?;
    let mut near = TcpStream::connect(link.address).await?;
    near.write_all(b"1").await?;
    let (mut server, from) = far.accept().await?;
    server.read_u8().await?;
    assert!(link.connection(from).is_some());
    drop((near, server));
    tokio::time::sleep(WHILE).await;
    assert!(link.connection(from).is_none());
    Ok(())
}
