//! Generates the Rust code of the operator RPC API from its Protobuf schema.
//!
//! Usage: `rail_codegen SCHEMA OUT_DIR`. CI generates into a temporary directory and compares the
//! result with the committed code.

use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("usage: rail_codegen SCHEMA OUT_DIR")]
    Usage,
    #[error("cannot compile the schema: {0}")]
    Schema(#[from] protox::Error),
    #[error("cannot write the generated code: {0}")]
    Write(#[from] std::io::Error),
}

fn main() -> Result<(), Error> {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [schema_path, out_dir] = args.as_slice() else {
        return Err(Error::Usage);
    };
    let include_dir = schema_path.parent().ok_or(Error::Usage)?;
    let descriptors = protox::compile([schema_path], [include_dir])?;
    std::fs::create_dir_all(out_dir)?;
    tonic_prost_build::configure().out_dir(out_dir).compile_fds(descriptors)?;
    Ok(())
}
