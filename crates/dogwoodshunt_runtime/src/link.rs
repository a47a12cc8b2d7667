//! Connections that carry frames between an entry and an agent.

use crate::boot::draw_nonce;
use crate::traffic::Traffic;
use bytes::Bytes;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::codec;
use dogwoodshunt_wire::codec::CodecError;
use dogwoodshunt_wire::frame::Challenge;
use dogwoodshunt_wire::frame::Hello;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::PROTOCOL;
use dogwoodshunt_wire::handshake;
use dogwoodshunt_wire::handshake::SharedKey;
use dogwoodshunt_wire::handshake::Side;
use dogwoodshunt_wire::handshake::Transcript;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use slog::Logger;
use slog::warn;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use std::future::Future;
use std::time::Duration;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// How long connecting and the handshake may take together.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest message of a peer that has not shown the shared key, in bytes.
const MAX_GREETING_BYTES: usize = 4 * 1024;

/// Frames received that may wait for the control thread.
const RECEIVE_QUEUE: usize = 256;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Why a connection could not be opened or has ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The peer sent something that is no frame.
    #[snafu(display("{step} with {peer}: {source}"))]
    Codec {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// What is wrong with the frame.
        source: CodecError,
    },
    /// The peer did not answer in time.
    #[snafu(display("{step} with {peer}: no answer within {OPEN_TIMEOUT:?}"))]
    Late {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The connection broke.
    #[snafu(display("{step} with {peer}: {message}"))]
    Lost {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// What the network or the WebSocket library found.
        message: Box<str>,
    },
    /// The peer does not hold the shared key.
    #[snafu(display("{step} with {peer}: the peer does not hold the shared key"))]
    Stranger {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The peer sent another frame than the step calls for.
    #[snafu(display("{step} with {peer}: unexpected frame"))]
    Unexpected {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The peer speaks another version of the frames.
    #[snafu(display(
        "{step} with {peer}: the peer speaks protocol {found}, this process {PROTOCOL}; \
         run the same release on both"
    ))]
    Version {
        /// What was being done.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Version of the peer.
        found: u32,
    },
}

/// An open connection.
pub struct Link {
    /// Who the peer is.
    pub peer: Identity,
    /// Sends frames; closing it closes the connection.
    pub tx: async_channel::Sender<Frame>,
    /// Receives frames; it closes when the connection ends.
    pub rx: async_channel::Receiver<Frame>,
}

/// What a process shows its peers.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Who this process is.
    pub me: Identity,
    /// Key shared by all processes.
    pub key: SharedKey,
}

/// Connects to the agent at `address` (`ADDRESS:PORT`).
///
/// # Errors
///
/// Fails if the agent cannot be reached in time or does not hold the shared key.
pub async fn connect(
    address: &str,
    credentials: &Credentials,
    traffic: &Traffic,
    log: &Logger,
) -> Result<Link, LinkError> {
    const STEP: &str = "connect";
    let open = async {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| lost(STEP, address, &error))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/agent");
        let config = Some(config(codec::MAX_FRAME_BYTES));
        let opened = tokio_tungstenite::client_async_with_config(url, stream.compat(), config);
        let (socket, _) = opened.await.map_err(|error| lost(STEP, address, &error))?;
        greet_agent(socket, address, credentials).await
    };
    let (socket, peer) = within(STEP, address, open).await?;
    Ok(run(socket, peer, traffic, log.clone()))
}

/// Accepts an entry's connection.
///
/// # Errors
///
/// Fails if the entry is too slow or does not hold the shared key.
pub async fn accept(
    stream: TcpStream,
    credentials: &Credentials,
    traffic: &Traffic,
    log: &Logger,
) -> Result<Link, LinkError> {
    const STEP: &str = "accept";
    let address = match stream.peer_addr() {
        Ok(address) => address.to_string(),
        Err(_) => "unknown address".to_owned(),
    };
    let _ = stream.set_nodelay(true);
    let open = async {
        let config = Some(config(codec::MAX_FRAME_BYTES));
        let opened = tokio_tungstenite::accept_async_with_config(stream.compat(), config);
        let socket = opened.await.map_err(|error| lost(STEP, &address, &error))?;
        greet_entry(socket, &address, credentials).await
    };
    let (socket, peer) = within(STEP, &address, open).await?;
    Ok(run(socket, peer, traffic, log.clone()))
}

fn config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

async fn within<T>(
    step: &'static str,
    peer: &str,
    open: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let late = async {
        Timer::after(OPEN_TIMEOUT).await;
        LateSnafu { step, peer }.fail()
    };
    open.or(late).await
}

async fn greet_agent(
    mut socket: Socket,
    address: &str,
    credentials: &Credentials,
) -> Result<(Socket, Identity), LinkError> {
    const STEP: &str = "greet agent";
    let Frame::Challenge(challenge) = receive(STEP, address, &mut socket).await? else {
        return UnexpectedSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    check_version(STEP, address, challenge.protocol)?;
    let nonce = draw_nonce();
    let transcript = Transcript {
        agent_nonce: &challenge.nonce,
        entry_nonce: &nonce,
        agent: &challenge.agent,
        entry: &credentials.me,
    };
    let hello = Hello {
        protocol: PROTOCOL,
        nonce,
        entry: credentials.me.clone(),
        proof: handshake::prove(&credentials.key, Side::Entry, &transcript),
    };
    send(STEP, address, &mut socket, &Frame::Hello(hello)).await?;
    let Frame::Welcome { proof } = receive(STEP, address, &mut socket).await? else {
        return UnexpectedSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    let known = handshake::verify(&credentials.key, Side::Agent, &transcript, &proof);
    ensure!(
        known,
        StrangerSnafu {
            step: STEP,
            peer: address
        }
    );
    Ok((socket, challenge.agent))
}

async fn greet_entry(
    mut socket: Socket,
    address: &str,
    credentials: &Credentials,
) -> Result<(Socket, Identity), LinkError> {
    const STEP: &str = "greet entry";
    let challenge = Challenge {
        protocol: PROTOCOL,
        nonce: draw_nonce(),
        agent: credentials.me.clone(),
    };
    let frame = Frame::Challenge(challenge.clone());
    send(STEP, address, &mut socket, &frame).await?;
    let Frame::Hello(hello) = receive(STEP, address, &mut socket).await? else {
        return UnexpectedSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    check_version(STEP, address, hello.protocol)?;
    let transcript = Transcript {
        agent_nonce: &challenge.nonce,
        entry_nonce: &hello.nonce,
        agent: &credentials.me,
        entry: &hello.entry,
    };
    let known = handshake::verify(&credentials.key, Side::Entry, &transcript, &hello.proof);
    ensure!(
        known,
        StrangerSnafu {
            step: STEP,
            peer: address
        }
    );
    let proof = handshake::prove(&credentials.key, Side::Agent, &transcript);
    send(STEP, address, &mut socket, &Frame::Welcome { proof }).await?;
    Ok((socket, hello.entry))
}

fn check_version(step: &'static str, peer: &str, found: u32) -> Result<(), LinkError> {
    ensure!(found == PROTOCOL, VersionSnafu { step, peer, found });
    Ok(())
}

async fn send(
    step: &'static str,
    peer: &str,
    socket: &mut Socket,
    frame: &Frame,
) -> Result<(), LinkError> {
    let bytes = codec::encode(frame).context(CodecSnafu { step, peer })?;
    let sent = socket.send(Message::Binary(bytes)).await;
    sent.map_err(|error| lost(step, peer, &error))
}

async fn receive(step: &'static str, peer: &str, socket: &mut Socket) -> Result<Frame, LinkError> {
    let Some(message) = socket.next().await else {
        return Err(lost(step, peer, &"connection closed"));
    };
    let message = message.map_err(|error| lost(step, peer, &error))?;
    let data = message.into_data();
    ensure!(
        data.len() <= MAX_GREETING_BYTES,
        UnexpectedSnafu { step, peer }
    );
    codec::decode(&data).context(CodecSnafu { step, peer })
}

fn lost(step: &'static str, peer: &str, message: &dyn std::fmt::Display) -> LinkError {
    LinkError::Lost {
        step,
        peer: peer.into(),
        message: message.to_string().into(),
    }
}

fn run(socket: Socket, peer: Identity, traffic: &Traffic, log: Logger) -> Link {
    let (tx, outgoing) = async_channel::unbounded();
    let (incoming, rx) = async_channel::bounded(RECEIVE_QUEUE);
    let (sink, stream) = socket.split();
    let write = write_all(sink, outgoing.clone());
    let node = peer.node.clone();
    let read = async move {
        if let Err(error) = read_all(stream, incoming, &node).await {
            warn!(log, "link closed"; "peer" => %node, "error" => %error);
        }
    };
    // Either side's end closes the connection, and with it both channels.
    let pumps = async move {
        write.or(read).await;
        outgoing.close();
    };
    traffic.spawn(pumps).detach();
    Link { peer, tx, rx }
}

async fn write_all(mut sink: SplitSink<Socket, Message>, outgoing: async_channel::Receiver<Frame>) {
    while let Ok(frame) = outgoing.recv().await {
        if feed(&mut sink, &frame).await.is_none() {
            return;
        }
        while let Ok(frame) = outgoing.try_recv() {
            if feed(&mut sink, &frame).await.is_none() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}

async fn feed(sink: &mut SplitSink<Socket, Message>, frame: &Frame) -> Option<()> {
    let bytes: Bytes = codec::encode(frame).ok()?;
    sink.feed(Message::Binary(bytes)).await.ok()
}

async fn read_all(
    mut stream: SplitStream<Socket>,
    incoming: async_channel::Sender<Frame>,
    peer: &str,
) -> Result<(), LinkError> {
    const STEP: &str = "receive";
    while let Some(message) = stream.next().await {
        let message = message.map_err(|error| lost(STEP, peer, &error))?;
        let Message::Binary(data) = message else {
            continue;
        };
        let frame = codec::decode(&data).context(CodecSnafu { step: STEP, peer })?;
        if incoming.send(frame).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}
