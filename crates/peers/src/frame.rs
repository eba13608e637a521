//! Frames on a stream between two routers.

use {
    futures_lite::io::{
        AsyncRead,
        AsyncReadExt, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    serde::{
        de::DeserializeOwned,
        Deserialize,
        Serialize, //
    },
    std::io,
};

/// Longest frame accepted, in bytes; a longer one is taken for garbage.
const FRAME_MAX: usize = 1 << 20;

/// What a stream carries at a time.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Frame<T> {
    /// Number of this frame in what its sender told this peer, across streams.
    pub(crate) seq: u32,
    /// Highest number seen from the peer, so that it notices a stream gone silent.
    pub(crate) ack: u32,
    /// The messages, in the order they were sent.
    pub(crate) items: Vec<T>,
}

/// Messages that came from a peer.
#[derive(Debug)]
pub struct Incoming<T> {
    /// The router that sent them.
    pub from: RouterId,
    /// The start of that router which sent them.
    pub incarnation: Incarnation,
    /// The messages, in the order they were sent.
    pub items: Vec<T>,
}

/// Puts a frame behind its length.
pub(crate) fn encode<T: Serialize>(frame: &Frame<T>) -> io::Result<Vec<u8>> {
    let mut out = vec![0; 4];
    rmp_serde::encode::write(&mut out, frame).map_err(io::Error::other)?;
    let len = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&len.to_be_bytes());
    Ok(out)
}

/// Reads the next frame; none at the end of the stream.
pub(crate) async fn decode<T, R>(r: &mut R) -> io::Result<Option<Frame<T>>>
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
    if len > FRAME_MAX {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("a frame of {len} bytes is over the limit of {FRAME_MAX}"),
        ));
    }
    let mut body = vec![0; len];
    r.read_exact(&mut body).await?;
    rmp_serde::from_slice(&body)
        .map(Some)
        .map_err(io::Error::other)
}
