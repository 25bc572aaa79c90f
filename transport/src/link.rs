//! Framed TCP links between own processes.

use protocol::codec::{decode_length, LENGTH_BYTES};
use protocol::{ConnectionKind, EncodedFrame, Frame, FrameError};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::traffic;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long a step of setting up a connection may take.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an accepted connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long a TCP connection may take to come up. Invariant: longer than a round trip
/// between any two regions; a machine without power doesn't even refuse.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// How long to wait after a failed accept, for instance for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A piece of a frame that is sent steadily.
const PIECE_BYTES: usize = 32 << 10;
/// What is reserved at once for a frame, whatever length it states.
const MAX_RESERVED_BYTES: usize = 1 << 16;

/// What ended a framed link. The connection is of no use after it; whether a request on it
/// had an effect is for its conversation to say.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The other process can't be reached.
    #[error("dialling {to}: {cause}")]
    Connect {
        /// Its address.
        to: SocketAddr,
        /// What the system says.
        cause: io::Error,
    },
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The length of a frame is not allowed, or its end is missing.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame's content can't be read.
    #[error("an unreadable frame: {0}")]
    Unreadable(FrameError),
    /// An accepted connection sent nothing.
    #[error("no hello came within {HELLO_TIMEOUT:?}")]
    NoHello,
    /// An accepted connection began with another frame.
    #[error("the first frame is no hello")]
    OtherFirstFrame,
    /// An accepted connection was closed before it sent anything.
    #[error("closed before a hello")]
    ClosedBeforeHello,
}

/// Connects from `source`'s address, so that a partition between two machines is one in
/// both directions.
///
/// # Errors
/// What the system says, or `TimedOut` after 450 ms.
pub async fn connect(source: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    connect_within(CONNECT_TIMEOUT, source, to).await
}

/// Connects from `source`'s address within a time.
///
/// # Errors
/// What the system says, or `TimedOut`.
pub async fn connect_within(
    timeout: Duration,
    source: SocketAddr,
    to: SocketAddr,
) -> io::Result<TcpStream> {
    let socket = match to.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == to.is_ipv4() && !source.ip().is_unspecified() {
        socket.bind(SocketAddr::new(source.ip(), 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(to))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Connects and says hello, as the process of this name.
///
/// # Errors
/// [`LinkError::Connect`] and [`LinkError::Io`].
pub async fn dial(
    source: SocketAddr,
    to: SocketAddr,
    kind: ConnectionKind,
    name: &str,
) -> Result<TcpStream, LinkError> {
    let mut stream = connect(source, to)
        .await
        .map_err(|cause| LinkError::Connect { to, cause })?;
    let hello = Frame::Hello {
        version: protocol::VERSION,
        kind,
        name: name.into(),
    };
    send(&mut stream, &hello).await?;
    Ok(stream)
}

/// Ends a connection with `TimedOut` once the other machine has acknowledged nothing of what
/// was sent for this long (TCP_USER_TIMEOUT). The machine's kernel acknowledges it: a
/// process that is overloaded or suspended does not end a connection in this way.
///
/// # Errors
/// What the system says.
pub fn set_acknowledgement_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Sends one frame.
///
/// # Errors
/// [`LinkError::Io`]; a part of the frame may have been sent.
pub async fn send(to: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> Result<(), LinkError> {
    let bytes = protocol::encode(frame);
    to.write_all(&bytes).await?;
    traffic::count_sent(&bytes);
    Ok(())
}

/// Sends one frame piece by piece, each of which the other side has to accept within a
/// time. So a long frame may take as long as a slow link needs, while a link that stands
/// still is noticed as soon as with a short one.
///
/// # Errors
/// [`LinkError::Io`], `TimedOut` for a piece that was not accepted; a part of the frame
/// may have been sent.
pub async fn send_steadily(
    to: &mut (impl AsyncWrite + Unpin),
    frame: &EncodedFrame,
    piece_timeout: Duration,
) -> Result<(), LinkError> {
    for piece in frame.bytes().chunks(PIECE_BYTES) {
        tokio::time::timeout(piece_timeout, to.write_all(piece))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    }
    traffic::count_sent(frame.bytes());
    Ok(())
}

/// Reads one frame. `None`: the other side closed between frames.
///
/// # Errors
/// [`LinkError::Frame`] and [`LinkError::Unreadable`] where the bytes are no frame, and
/// [`LinkError::Io`].
pub async fn receive(
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Option<Frame>, LinkError> {
    receive_observed(from, max_bytes, |_| {}).await
}

/// The same. `observe` is called with the frame's length whenever a part of it came.
///
/// # Errors
/// As of [`receive`].
pub async fn receive_observed(
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
    mut observe: impl FnMut(usize),
) -> Result<Option<Frame>, LinkError> {
    let mut length = [0; LENGTH_BYTES];
    if let Err(error) = from.read_exact(&mut length).await {
        return match error.kind() {
            io::ErrorKind::UnexpectedEof => Ok(None),
            _ => Err(error.into()),
        };
    }
    let expected_bytes = decode_length(length, max_bytes)?;
    let mut bytes = Vec::with_capacity(expected_bytes.min(MAX_RESERVED_BYTES));
    let mut rest = from.take(expected_bytes as u64);
    while rest.read_buf(&mut bytes).await? > 0 {
        observe(expected_bytes);
    }
    let seen_bytes = bytes.len();
    if seen_bytes < expected_bytes {
        return Err(LinkError::Frame(FrameError::Truncated {
            expected_bytes,
            seen_bytes,
        }));
    }
    traffic::count_received(&bytes);
    protocol::decode_within(&bytes, max_bytes)
        .map(Some)
        .map_err(LinkError::Unreadable)
}

/// Accepts connections for good, each served by a task of its own.
pub async fn accept<F, W>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> W,
    W: Future<Output = anyhow::Result<()>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let serving = serve(stream);
                tokio::spawn(async move {
                    if let Err(error) = serving.await {
                        log::info!(from = from.to_string(); "the connection was closed: {error:#}");
                    }
                });
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the hello of an accepted connection: its kind, and the name of the process.
/// Another version of the protocol is refused with a text.
///
/// # Errors
/// What ended the connection; for another version [`FrameError::OtherVersion`].
pub async fn accept_handshake(
    stream: &mut TcpStream,
) -> Result<(ConnectionKind, String), LinkError> {
    stream.set_nodelay(true)?;
    let first = receive(stream, protocol::MAX_HELLO_BYTES);
    let first = tokio::time::timeout(HELLO_TIMEOUT, first).await;
    match first.map_err(|_| LinkError::NoHello)?? {
        Some(Frame::Hello {
            version,
            kind,
            name,
        }) => {
            if let Err(error) = protocol::check_version(&name, version) {
                let text = error.to_string();
                send(stream, &Frame::Refused { text }).await?;
                return Err(error.into());
            }
            Ok((kind, name))
        }
        Some(_) => Err(LinkError::OtherFirstFrame),
        None => Err(LinkError::ClosedBeforeHello),
    }
}
