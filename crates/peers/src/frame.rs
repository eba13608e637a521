//! Frames on a stream between two routers.

use {
    crate::limits::read_counted,
    futures_lite::io::{
        AsyncRead,
        AsyncReadExt, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    resources::{
        Account,
        Phase, //
    },
    serde::{
        de::DeserializeOwned,
        Deserialize,
        Serialize, //
    },
    std::io,
};

/// A longer frame is rejected as invalid.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// A batch of messages on a stream.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Frame<T> {
    /// Sequence number of this frame from its sender to this peer, across streams.
    pub(crate) seq: u32,
    /// Highest sequence number received from the peer, which lets it detect a dead stream.
    pub(crate) ack: u32,
    /// The messages, in the order they were sent.
    pub(crate) items: Vec<T>,
}

/// Messages received from a peer.
#[derive(Debug)]
pub struct Incoming<T> {
    /// The router that sent them.
    pub from: RouterId,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// The messages, in the order they were sent.
    pub items: Vec<T>,
}

/// Encodes a frame, preceded by its length.
pub(crate) fn encode<T: Serialize>(frame: &Frame<T>) -> io::Result<Vec<u8>> {
    let mut out = vec![0; 4];
    rmp_serde::encode::write(&mut out, frame).map_err(io::Error::other)?;
    let len = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&len.to_be_bytes());
    Ok(out)
}

/// Reads the next frame, which counts toward the connection's account as it arrives. Returns none at
/// the end of the stream.
pub(crate) async fn decode<T, R>(r: &mut R, account: &Account) -> io::Result<Option<Frame<T>>>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut head = [0; 4];
    match r.read_exact(&mut head).await {
        Ok(()) => {}
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(e) => return Err(e),
    }
    let len = u32::from_be_bytes(head) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}"),
        ));
    }
    account.set_phase(Phase::Receiving);
    let body = read_counted(&mut r.take(len as u64), len, account).await?;
    if body.len() < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    rmp_serde::from_slice(&body.into_vec())
        .map(Some)
        .map_err(io::Error::other)
}
