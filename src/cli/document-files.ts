/**
 * Reads template and tenant documents from YAML or JSON files; a file may contain several
 * documents.
 */
import { Result } from 'true-myth';
import { parseAllDocuments } from 'yaml';
import { serviceError, type ServiceError } from '../common/errors.js';
import { parseDocument, type OperatorDocument } from '../core/documents.js';
import { readText } from '../daemon/settings.js';

/** Reads and validates all documents of a file. An error names the file and the document. */
export function readDocuments(file: string): Result<OperatorDocument[], ServiceError> {
  const text = readText(file);
  if (text.isErr) return Result.err(text.error);
  const documents: OperatorDocument[] = [];
  for (const [index, parsed] of parseAllDocuments(text.value).entries()) {
    const where = `${file}, document ${index + 1}`;
    const syntaxError = parsed.errors[0];
    if (syntaxError !== undefined) {
      return Result.err(serviceError('invalid_document', `${where}: ${syntaxError.message}`));
    }
    const document = parseDocument(parsed.toJS());
    if (document.isErr) {
      return Result.err(serviceError('invalid_document', `${where}: ${document.error.message}`));
    }
    documents.push(document.value);
  }
  if (documents.length > 0) return Result.ok(documents);
  return Result.err(serviceError('invalid_document', `${file}: contains no document`));
}
