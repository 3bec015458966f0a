//! Prints the OpenAPI document of the operators' listener.

fn main() -> Result<(), String> {
    print!("{}", bulrushspread::operator::openapi()?);
    Ok(())
}
