//! TCP streams that count their bytes, and the framing on top of them.

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

/// A TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counts: Arc<Counts>,
}

/// A transport of length-delimited frames of bounded size.
pub(crate) type Frames<Item, SinkItem> =
    Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a TCP stream into a transport for RPCs in either direction.
///
/// The bound on the frame size protects against a peer that announces a frame of
/// gigabytes: its buffer would be allocated before any of the content is checked.
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
    let counted = CountedStream { stream, counts };
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    serde_transport::new(codec.new_framed(counted), Bincode::default())
}

impl AsyncRead for CountedStream {
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

impl AsyncWrite for CountedStream {
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
