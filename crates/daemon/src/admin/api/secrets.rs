//! Endpoints for the installation's secrets.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::token_secret::TokenSecret;
use rand::Rng;

use crate::admin::context::Admin;
use crate::admin::edit::Edit;
use crate::admin::error_response::ErrorResponse;

/// Key length of HMAC-SHA-256.
const SECRET_BYTES: usize = 32;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(token_secret_create)
}

/// Create the key that signs session tokens
///
/// Part of the set-up of an installation; refused if the key exists. The key is not shown.
#[endpoint { method = POST, path = "/secrets/token" }]
async fn token_secret_create(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let secret = TokenSecret {
        key: STANDARD.encode(rand::rng().random::<[u8; SECRET_BYTES]>()),
    };
    let name = kind::TOKEN_SECRET_NAME.to_owned();
    let edit = Edit::put(kind::SECRET, name, 0, &secret)?;
    Ok(HttpResponseOk(context.context().change(edit).await?))
}
