//! A socket that counts its bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use tarpc::tokio_util::codec::LengthDelimitedCodec;

use crate::service::MAX_FRAME_BYTES;
use crate::stats::Counts;

/// A socket that counts its bytes.
#[derive(Debug)]
pub(crate) struct Counted {
    stream: TcpStream,
    counts: Arc<Counts>,
}

/// A connection that carries frames of bounded length.
pub(crate) type Frames<Item, SinkItem> =
    Transport<Counted, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a socket for calls in either direction.
///
/// The bound on frames guards against a peer that announces a frame of gigabytes: the
/// buffer for it would be made before anything of it was checked.
pub(crate) fn frames<Item, SinkItem>(
    stream: TcpStream,
    counts: Arc<Counts>,
) -> Frames<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    // Small frames must not wait for the peer's acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let counted = Counted { stream, counts };
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    serde_transport::new(codec.new_framed(counted), Bincode::default())
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.counts.bytes_in.add(read as u64);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.counts.bytes_out.add(*written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
