//! Writes `src/generated/pinhaven.peer.rs` from `proto/peer.proto`.
//!
//! Run the example by hand after each change of the protocol: `cargo run -p pinhaven-peer --example generate`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
