//! A relay whose connections tests cut and stall.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_runtime::traffic::Traffic;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Time between two looks at a stalled direction.
const STALL_POLL: Duration = Duration::from_millis(5);

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Refuses new connections; open ones were cut.
    Cut,
    /// Carries both directions.
    #[default]
    Open,
    /// Carries nothing towards the target, but keeps connections open.
    StallRequests,
    /// Carries nothing back from the target, but keeps connections open.
    StallAnswers,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    target: Option<SocketAddr>,
    // Closing it cuts every open connection.
    alive: (Sender<()>, Receiver<()>),
}

/// A relay in front of one process, at an address that stays.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address of the relay.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Answers,
    Requests,
}

impl Relay {
    /// Starts a relay without a target.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(traffic: &Traffic) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: Mode::Open,
                target: None,
                alive: async_channel::bounded(1),
            })),
        };
        let (accepting, spawner) = (relay.clone(), traffic.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = accepting.clone();
                spawner
                    .spawn(async move { relay.carry(stream).await })
                    .detach();
            }
        };
        traffic.spawn(accept).detach();
        Ok(relay)
    }

    /// Sets where connections go from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.with(|state| state.target = Some(target));
    }

    /// Sets what happens to connections; [`Mode::Cut`] ends the open ones.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|state| {
            state.mode = mode;
            if mode == Mode::Cut {
                state.alive.0.close();
                state.alive = async_channel::bounded(1);
            }
        });
    }

    async fn carry(&self, caller: TcpStream) {
        let (mode, target, alive) = self.with(|state| {
            let alive = state.alive.1.clone();
            (state.mode, state.target, alive)
        });
        let Some(target) = target.filter(|_| mode != Mode::Cut) else {
            return;
        };
        let Ok(callee) = TcpStream::connect(target).await else {
            return;
        };
        // Small frames must not wait for acknowledgements on either side.
        let _ = caller.set_nodelay(true);
        let _ = callee.set_nodelay(true);
        let (there, back) = (caller.clone(), callee.clone());
        let requests = self.copy(there, callee, Direction::Requests);
        let answers = self.copy(back, caller, Direction::Answers);
        let cut = async {
            let _ = alive.recv().await;
        };
        requests.or(answers).or(cut).await;
    }

    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let Ok(count) = from.read(&mut buf).await else {
                return;
            };
            while self.is_stalled(direction) {
                smol::Timer::after(STALL_POLL).await;
            }
            if count == 0 || to.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }

    fn is_stalled(&self, direction: Direction) -> bool {
        match self.with(|state| state.mode) {
            Mode::Cut | Mode::Open => false,
            Mode::StallAnswers => direction == Direction::Answers,
            Mode::StallRequests => direction == Direction::Requests,
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
