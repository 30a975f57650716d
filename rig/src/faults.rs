//! Links with faults, between one conductor and the address of another. They carry the frames that conductors send (a
//! length of four bytes, big-endian, and so many bytes) and can lose, delay, repeat or reorder them whole.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a link does to frames.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Nothing passes, in either direction, and nobody is told.
    pub cut: bool,
    /// Each frame waits this long...
    pub delay: Duration,
    /// ...and up to this much longer.
    pub jitter: Duration,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that come twice.
    pub repeated: f64,
    /// Share of frames that come after the next one.
    pub swapped: f64,
}

/// A link that can be broken.
pub struct Link {
    /// Where the near side connects.
    pub address: SocketAddr,
    faults: watch::Sender<Faults>,
    accepting: Mutex<Option<JoinHandle<()>>>,
    target: SocketAddr,
    rng: Arc<Mutex<SmallRng>>,
}

impl Link {
    /// A link to this address, whole; it listens beside its target, at a port that the system gives to nobody by itself: it is
    /// left while the target is down, and has to be free when that is back.
    pub async fn to(target: SocketAddr, port: u16, seed: u64) -> std::io::Result<Self> {
        let address = SocketAddr::new(target.ip(), port);
        let listener = TcpListener::bind(address).await?;
        let faults = watch::Sender::new(Faults::default());
        let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        let link = Link { address, faults, accepting: Mutex::new(None), target, rng };
        link.accept(listener);
        Ok(link)
    }

    fn accept(&self, listener: TcpListener) {
        let (target, faults, rng) = (self.target, self.faults.subscribe(), self.rng.clone());
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry(near, target, faults.clone(), rng.clone()));
            }
        });
        if let Ok(mut accepting) = self.accepting.lock() {
            *accepting = Some(task);
        }
    }

    /// Sets the faults from now on.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// The process behind it has ended: connections are refused, as its own address does.
    pub async fn refuse(&self) {
        let task = self.accepting.lock().ok().and_then(|mut accepting| accepting.take());
        if let Some(task) = task {
            task.abort();
            // Its listener is gone when it has ended.
            let _ = task.await;
        }
    }

    /// The process behind it is back.
    pub async fn open(&self) -> std::io::Result<()> {
        let gone = self.accepting.lock().is_ok_and(|accepting| accepting.is_none());
        if gone {
            self.accept(TcpListener::bind(self.address).await?);
        }
        Ok(())
    }
}

async fn carry(
    near: TcpStream, target: SocketAddr, faults: watch::Receiver<Faults>, rng: Arc<Mutex<SmallRng>>,
) {
    let mut up = faults.clone();
    // A cut network does not answer: the connection stands and nothing comes of it.
    if up.wait_for(|f| !f.cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::select! {
        _ = frames(near_in, far_out, faults.clone(), rng.clone()) => {}
        _ = frames(far_in, near_out, faults, rng) => {}
    }
}

async fn frames(
    mut from: impl AsyncReadExt + Unpin, mut to: impl AsyncWriteExt + Unpin,
    mut faults: watch::Receiver<Faults>, rng: Arc<Mutex<SmallRng>>,
) -> std::io::Result<()> {
    let draw = |share: f64| share > 0.0 && rng.lock().is_ok_and(|mut rng| rng.random_bool(share.min(1.0)));
    let mut kept: Option<Vec<u8>> = None;
    loop {
        let mut frame = vec![0; 4];
        from.read_exact(&mut frame).await?;
        let length = u32::from_be_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
        frame.resize(4 + length.min(2 * 1024 * 1024), 0);
        from.read_exact(&mut frame[4..]).await?;
        let now = *faults.borrow();
        if now.cut {
            // What was sent into the cut is lost with its connection when that heals: TCP would send it again, after a
            // time in which conductors have given the connection up.
            let _ = faults.wait_for(|f| !f.cut).await;
            return Ok(());
        }
        if !now.delay.is_zero() || !now.jitter.is_zero() {
            let more = rng.lock().map_or(0.0, |mut rng| rng.random::<f64>());
            tokio::time::sleep(now.delay + now.jitter.mul_f64(more)).await;
        }
        if draw(now.loss) {
            continue;
        }
        if kept.is_none() && draw(now.swapped) {
            kept = Some(frame);
            continue;
        }
        let times = if draw(now.repeated) { 2 } else { 1 };
        for _ in 0..times {
            to.write_all(&frame).await?;
        }
        if let Some(earlier) = kept.take() {
            to.write_all(&earlier).await?;
        }
    }
}
