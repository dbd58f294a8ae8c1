//! Length-delimited frames with one `postcard` message each.

use crate::error::{Error, Result};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Size limit of a frame in bytes; a larger frame ends the call.
const MAX_FRAME_BYTES: usize = 4 << 20;

pub(crate) type Reader = FramedRead<quinn::RecvStream, LengthDelimitedCodec>;
pub(crate) type Writer = FramedWrite<quinn::SendStream, LengthDelimitedCodec>;

pub(crate) fn reader(stream: quinn::RecvStream) -> Reader {
    FramedRead::new(stream, codec())
}

pub(crate) fn writer(stream: quinn::SendStream) -> Writer {
    FramedWrite::new(stream, codec())
}

pub(crate) async fn write<T: Serialize>(writer: &mut Writer, message: &T) -> Result<()> {
    let bytes = postcard::to_allocvec(message).map_err(|_error| Error::InvalidMessage)?;
    writer.send(Bytes::from(bytes)).await.map_err(|_error| Error::Lost)
}

pub(crate) async fn read<T: DeserializeOwned>(reader: &mut Reader) -> Result<Option<T>> {
    match reader.next().await {
        None => Ok(None),
        Some(Err(_)) => Err(Error::Lost),
        Some(Ok(bytes)) => {
            postcard::from_bytes(&bytes).map(Some).map_err(|_error| Error::InvalidMessage)
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
