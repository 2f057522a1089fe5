// Package certs creates the certificates with which the instances of a deployment
// authenticate each other: a certificate authority (CA) and one certificate signed
// by it. The CA's private key is discarded, so that nobody can issue further
// certificates with the files.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the files that Write creates.
const (
	CAFile   = "ca.pem"
	CertFile = "instance.pem"
	KeyFile  = "instance-key.pem"
)

const (
	clockSkew      = time.Hour // NotBefore lies this far in the past, for machines whose clocks are behind
	serialBits     = 120
	publicFileMode = 0o644
	secretFileMode = 0o600
)

// Write creates a new CA and a certificate, valid for the given time, and writes the
// three files into dir, which must exist. It fails if a file exists already.
func Write(dir string, valid time.Duration) error {
	caKey, ca, err := newAuthority(valid)
	if err != nil {
		return err
	}
	key, cert, err := newInstanceCert(ca, caKey, valid)
	if err != nil {
		return err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "certs: encode the private key")
	}
	for _, f := range []struct {
		name, blockType string
		body            []byte
		mode            os.FileMode
	}{
		{CAFile, "CERTIFICATE", ca.Raw, publicFileMode},
		{CertFile, "CERTIFICATE", cert, publicFileMode},
		{KeyFile, "PRIVATE KEY", encodedKey, secretFileMode},
	} {
		if err := writeNew(filepath.Join(dir, f.name), pem.EncodeToMemory(&pem.Block{Type: f.blockType, Bytes: f.body}), f.mode); err != nil {
			return err
		}
	}
	return nil
}

func writeNew(path string, body []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "certs: create file")
	}
	if _, err := f.Write(body); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "certs: write file")
	}
	return errors.Wrap(f.Close(), "certs: close file")
}

func newAuthority(valid time.Duration) (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certs: new key")
	}
	template, err := newTemplate("oleanderdale instances", valid)
	if err != nil {
		return nil, nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certs: sign the CA certificate")
	}
	cert, err := x509.ParseCertificate(raw)
	return key, cert, errors.Wrap(err, "certs: parse the CA certificate")
}

func newInstanceCert(ca *x509.Certificate, caKey *ecdsa.PrivateKey, valid time.Duration) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certs: new key")
	}
	template, err := newTemplate("oleanderdale instance", valid)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	return key, raw, errors.Wrap(err, "certs: sign the instance certificate")
}

func newTemplate(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "certs: generate the serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid),
	}, nil
}
